package commandrunner

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/frontend/placementexplainer"
	"knapweedspur/internal/job/planner"
)

func TestWherePrintsAnswer(t *testing.T) {
	var question placementexplainer.Question
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := json.NewDecoder(r.Body).Decode(&question); err != nil || r.URL.Path != placementexplainer.Path {
			t.Errorf("path %s, error %v", r.URL.Path, err)
		}
		_ = json.NewEncoder(w).Encode(placementexplainer.Answer{ // a failed write fails the command
			Queue: "q", Pool: "p", Refused: "refused for room: no room", RetryAfterMs: 31_000, StartMs: 40_000, EndMs: 41_000, ObjectiveMs: 6000, UsefulMs: 18_000,
			ForecastAgeMs: 700, ViewAgeMs: 40, Leader: "front-1", Steps: []planner.StepExplanation{
				{Waiting: 3, Starts: map[string]int{"b": 1, "a": 2}, Against: map[planner.Reason]int{planner.Draining: 4}}, {Step: 1, Waiting: 1, After: []int{0}},
			},
		})
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(`{"steps":[]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errors bytes.Buffer
	args := []string{"where", file, "--host", "h", "--path", "/q/", "--entry", strings.TrimPrefix(server.URL, "http://")}
	if code := Run(args, &out, &errors); code != exitOK {
		t.Fatalf("exit code %d: %s", code, errors.String())
	}
	want := `queue q, pool p: would be refused, come back after 31s
  refused for room: no room
starts in 40s and ends in 41s at the earliest; objective 6s, useful for 18s
by a forecast up to 700ms old
by the planner of front-1, now, without jobs that go first:
  step 0: 3 tasks wait, 0 run, 0 are done
    2 would start on a
    1 would start on b
    not: 4 VMs draining
  step 1: 1 tasks wait, 0 run, 0 are done; waits for steps [0]
the entry's view of the log is 40ms old
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(placementexplainer.Question{Host: "h", Path: "/q/", Body: json.RawMessage(`{"steps":[]}`)}, question); diff != "" {
		t.Errorf("question (-want +got):\n%s", diff)
	}
	if code := Run([]string{"where", file, "--host", "h", "--json", "--entry", "127.0.0.1:1"}, &out, &errors); code != exitFailure {
		t.Errorf("exit code %d without an entry", code)
	}
}
