package queuecataloger

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

func TestFindUsesLongestPrefixOfHost(t *testing.T) {
	c := &Catalog{Queues: []Queue{
		{Host: "h", Prefix: "/a/", Queue: work.Queue{Name: "short"}},
		{Host: "h", Prefix: "/a/b/", Queue: work.Queue{Name: "long"}},
		{Host: "x", Prefix: "/a/b/c/", Queue: work.Queue{Name: "other"}},
	}}
	if q := c.Find("H", "/a/b/c/id"); q == nil || q.Name != "long" {
		t.Errorf("found %+v", q)
	}
	if q := c.Find("h", "/b/id"); q != nil {
		t.Errorf("found %+v", q)
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := &Cataloger{}
	var updated []bool
	for _, version := range []int64{4, 7, 5, 7, 9} {
		updated = append(updated, c.Update(&Catalog{Version: version}))
	}
	if diff := cmp.Diff([]bool{true, true, false, false, true}, updated); diff != "" {
		t.Errorf("updated (-want +got):\n%s", diff)
	}
}

func TestWatcherRecoversFromOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := keyedlogemulator.New()
		appendConfig := func(value string) {
			if _, err := log.Append(t.Context(), []journal.Record{{Key: "config", Value: []byte(value)}}, nil); err != nil {
				t.Fatal(err)
			}
		}
		appendConfig("3")
		w := &Watcher{Journal: log, Cataloger: &Cataloger{}, Logger: hclog.NewNullLogger(), Decode: func(r journal.Record) (Change, error) {
			version, err := strconv.ParseInt(string(r.Value), 10, 64)
			return &Catalog{Version: version}, err
		}}
		w.Init()
		ctx, stop := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(time.Second)
		appendConfig("not a version")
		log.SetFaults(keyedlogemulator.Faults{Down: true})
		time.Sleep(3 * time.Second)
		log.SetFaults(keyedlogemulator.Faults{})
		appendConfig("8")
		log.Compact()
		time.Sleep(2 * time.Second)
		if got := w.Cataloger.Current().Version; got != 8 {
			t.Errorf("version %d in force, want 8", got)
		}
		stop()
		<-w.Done
	})
}

// Operators must be told of queues whose jobs start late, or not at all, for what the queue declares.
func TestWatcherWarnsOfQueuesThatAreHardToServe(t *testing.T) {
	var output strings.Builder
	w := &Watcher{Logger: hclog.New(&hclog.LoggerOptions{Output: &output}), HasPolicyService: true}
	c := &Catalog{Version: 3, Queues: []Queue{
		{Queue: work.Queue{Name: "plain"}},
		{Queue: work.Queue{Name: "usual", Approval: &work.ApprovalPolicy{BaseLatency: time.Second, TicketLifetime: 3 * time.Second}}},
		{Queue: work.Queue{Name: "short", Approval: &work.ApprovalPolicy{BaseLatency: time.Second, TicketLifetime: time.Second / 2}}},
	}}
	w.logProblems(c)
	if got := output.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "queue=short") {
		t.Errorf("warnings:\n%s", got)
	}
	output.Reset()
	w.HasPolicyService = false
	w.logProblems(c)
	if got := output.String(); strings.Count(got, "no policy service") != 2 {
		t.Errorf("warnings without a policy service:\n%s", got)
	}
}
