package placementexplainer

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/fault/verdict"
	"knapweedspur/internal/frontend/admissiondecider"
	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

// fixedPlanner is the planner of an entry that leads, nil for another.
type fixedPlanner struct{ planner *planner.Planner }

func (f fixedPlanner) Inspect(look func(p *planner.Planner, now time.Time)) bool {
	if f.planner == nil {
		return false
	}
	look(f.planner, time.Now())
	return true
}

type nopObserver struct{}

func (nopObserver) Applied(journal.Record) {}
func (nopObserver) Leading() int64         { return 0 }
func (nopObserver) Rebuilt()               {}

// serve starts an entry whose view holds the records.
func serve(t *testing.T, name string, p *planner.Planner, records ...journal.Record) string {
	t.Helper()
	log := keyedlogemulator.New()
	if _, err := log.Append(t.Context(), append(records, jobreducer.MemberRecord(&work.Member{Name: name})), nil); err != nil {
		t.Fatal(err)
	}
	f := &logfollower.Follower{Journal: log, Logger: hclog.NewNullLogger(), Observer: nopObserver{}}
	f.Init()
	go f.Run(t.Context())
	if err := f.WaitForOffset(t.Context(), int64(len(records))); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(&Explainer{
		Name: name, Follower: f, Planners: fixedPlanner{p}, Client: http.DefaultClient, Logger: hclog.NewNullLogger(),
		FindQueue: func(host, _ string) (*queuecataloger.Queue, int64, error) {
			if host != "h" {
				return nil, 0, &verdict.Error{Verdict: verdict.Unrun, Cause: verdict.NotFound, Reason: "no such queue"}
			}
			return &queuecataloger.Queue{Queue: work.Queue{Name: "q", Pool: "p", Stretch: 2, Target: 4 * time.Second}}, 1, nil
		},
		Decode: func([]byte) (*work.Job, error) {
			return &work.Job{Steps: []work.Step{{Tasks: 2, EstimatedDuration: time.Second, Size: work.Size{Millicores: 1000}}}}, nil
		},
		Situation: func(time.Time) admissiondecider.Situation {
			return admissiondecider.Situation{Epoch: 1, Entries: 1, Forecast: &work.RoomForecast{Epoch: 1, Pools: []work.PoolForecast{{
				Name: "p", Millicores: 1000, LargestVM: work.Size{Millicores: 1000}, Backlog: []work.Backlog{{JobWork: []int64{1}, Work: []int64{3_600_000}}},
			}}}}
		},
	})
	t.Cleanup(server.Close)
	return server.URL
}

func ask(t *testing.T, url string, q Question) (int, Answer) {
	t.Helper()
	data, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(url+Path, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var a Answer
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode, a
}

func TestAnswerOfLeaderComesThroughAnyEntry(t *testing.T) {
	p := planner.New(planner.Settings{MaxLease: 6 * time.Second}, jobreducer.New(), time.Now(), func(string, ...any) {})
	leaderURL := serve(t, "leader", p)
	address := netip.MustParseAddrPort(strings.TrimPrefix(leaderURL, "http://"))
	other := serve(t, "other", nil, jobreducer.TermRecord(&work.Term{Leader: "leader", Epoch: 1, Address: address}))
	for _, url := range []string{leaderURL, other} {
		status, a := ask(t, url, Question{Host: "h", Path: "/q/", Body: json.RawMessage(`{}`)})
		if status != http.StatusOK || a.Leader != "leader" || len(a.Steps) != 1 || a.Steps[0].Waiting != 2 || a.Note != "" {
			t.Errorf("status %d, answer %+v", status, a)
		}
		if !strings.HasPrefix(a.Refused, "refused for room") || a.RetryAfterMs < 1000 || a.StartMs != 3_600_000 || a.UsefulMs != 18_000 {
			t.Errorf("forecast in the answer %+v", a)
		}
	}
	if status, _ := ask(t, other, Question{Host: "x"}); status != http.StatusNotFound {
		t.Errorf("status %d for a queue that does not exist", status)
	}
}

func TestAnswerWithoutLeaderSaysSo(t *testing.T) {
	waiting := &work.Job{ID: "5c0e7a21d94b36f8", Queue: work.Queue{Name: "q", Pool: "p"}, Steps: []work.Step{{Tasks: 1}}}
	url := serve(t, "alone", nil, jobreducer.JobRecord(waiting))
	status, a := ask(t, url, Question{ID: waiting.ID})
	if status != http.StatusOK || a.State == "" || a.Refused != "" || a.Leader != "" || !strings.Contains(a.Note, "no leader") {
		t.Errorf("status %d, answer %+v", status, a)
	}
	if status, _ := ask(t, url, Question{ID: "0000000000000001"}); status != http.StatusNotFound {
		t.Errorf("status %d for a job that does not exist", status)
	}
}
