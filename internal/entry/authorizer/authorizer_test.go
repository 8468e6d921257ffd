package authorizer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestOnlyTheTokenPasses(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	got := map[string]int{}
	for _, header := range []string{"", "Bearer ", "Bearer wrong", "Bearer secret"} {
		r := httptest.NewRequest(http.MethodDelete, "/-/runs/x", nil)
		r.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		(&Authorizer{Token: "secret"}).Wrap(handler).ServeHTTP(w, r)
		got[header] = w.Code
		if w.Code == http.StatusUnauthorized && w.Header().Get("Knapweedspur-Verdict") != "unrun" {
			t.Errorf("%q: refused without a verdict", header)
		}
	}
	want := map[string]int{"": 401, "Bearer ": 401, "Bearer wrong": 401, "Bearer secret": 204}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status by header (-want +got):\n%s", diff)
	}
}
