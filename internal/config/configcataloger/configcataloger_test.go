package configcataloger

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/state/configreducer"
)

func newState(next uint64, bodies map[string]string) *configreducer.State {
	s := configreducer.New()
	s.Next = next
	for name, body := range bodies {
		s.Declarations[name] = configreducer.Declaration{Version: next, Body: body}
	}
	return s
}

const jobDeclaration = "kind: job\nname: quick\nteam: t\n"

func TestNeverGoesBackToALowerOffset(t *testing.T) {
	c := &Cataloger{}
	c.Update(newState(5, map[string]string{"quick": jobDeclaration}))
	c.Update(newState(4, nil))
	if diff := cmp.Diff(uint64(5), c.Current().Next); diff != "" {
		t.Errorf("offset of the catalog (-want +got):\n%s", diff)
	}
	if c.Current().Job("quick") == nil {
		t.Error("the job is gone")
	}
}

func TestUnreadableDeclarationIsListedSeparately(t *testing.T) {
	c := &Cataloger{}
	c.Update(newState(1, map[string]string{"quick": jobDeclaration, "later": "kind: fleet\nname: later\n"}))
	if c.Current().Job("quick") == nil || c.Current().Unreadable["later"] == "" {
		t.Errorf("specs %v, unreadable %v", c.Current().Specs, c.Current().Unreadable)
	}
}
