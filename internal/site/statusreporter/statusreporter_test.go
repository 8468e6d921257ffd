package statusreporter

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/frontend/queuecataloger"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/admin"
)

// An entry that has just started knows nothing yet, and still says what is switched off.
func TestStatusOfNewEntryNamesWhatIsOff(t *testing.T) {
	f := &logfollower.Follower{Logger: hclog.NewNullLogger()}
	f.Init()
	r := &Reporter{Entry: "front-1", Domain: "alpha", Follower: f, Cataloger: &queuecataloger.Cataloger{}, Gates: gatekeeper.Without(gatekeeper.Copies), Logger: hclog.NewNullLogger()}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path, nil))
	var got admin.Status
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	got.Age = 0
	want := admin.Status{Entry: "front-1", Domain: "alpha", Without: []string{"copies"}, Stalled: got.Stalled, Entries: []admin.Entry{}, Agents: []admin.Agent{}, Runs: []admin.Run{}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}
