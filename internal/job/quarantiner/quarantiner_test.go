package quarantiner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

const (
	early = 10 * time.Millisecond
	late  = time.Second
)

// judgeAll judges losses one after the other, with the suspicion cleared between them if
// that is asked for.
func judgeAll(losses []Loss, cleared bool) []Verdict {
	var verdicts []Verdict
	var h work.CrashHistory
	for i := range losses {
		losses[i].Run = i + 1
		var verdict Verdict
		h, verdict = Judge(h, &losses[i])
		verdicts = append(verdicts, verdict)
		if cleared {
			h = Clear(h)
		}
	}
	return verdicts
}

func TestCulpritIsNamedWithinTheStartsThatItMayHave(t *testing.T) {
	cases := []struct {
		name    string
		losses  []Loss
		cleared bool
		want    []Verdict
	}{
		{"second crash in quarantine", []Loss{{RanFor: early}, {RanFor: early, Quarantined: true}}, false, []Verdict{Suspect, Culprit}},
		{"never in quarantine, as the members of a gang", []Loss{{RanFor: early}, {RanFor: early}, {RanFor: early}}, false, []Verdict{Suspect, Suspect, Culprit}},
		{"several workers at once, then quarantine", []Loss{{RanFor: early, Mass: true}, {RanFor: early, Mass: true}, {RanFor: early, Quarantined: true}}, false, []Verdict{Counted, Suspect, Culprit}},
		{"several workers at once each time", []Loss{{RanFor: early, Mass: true}, {RanFor: early, Mass: true}, {RanFor: early, Mass: true}, {RanFor: early, Mass: true}, {RanFor: early, Mass: true}}, false, []Verdict{Counted, Suspect, Suspect, Suspect, Culprit}},
		{"late crashes", []Loss{{RanFor: late}, {RanFor: late}, {RanFor: late}, {RanFor: late}, {RanFor: late}}, false, []Verdict{Counted, Counted, Suspect, Suspect, Culprit}},
		{"late crashes, then quarantine", []Loss{{RanFor: late}, {RanFor: late}, {RanFor: late}, {RanFor: late, Quarantined: true}}, false, []Verdict{Counted, Counted, Suspect, Culprit}},
		{"cleared each time", []Loss{{RanFor: early}, {RanFor: early}, {RanFor: early}, {RanFor: early}, {RanFor: early}}, true, []Verdict{Suspect, Suspect, Suspect, Suspect, Culprit}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, judgeAll(c.losses, c.cleared)); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRunThatOutlastedItsStartIsNotBlamedForTheCrash(t *testing.T) {
	if diff := cmp.Diff([]Verdict{Unaffected, Unaffected, Unaffected}, judgeAll([]Loss{{RanFor: 4 * time.Second}, {RanFor: time.Hour}, {RanFor: 4 * time.Second}}, false)); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// Two leaders may judge the same crash.
func TestLostRunCountsOnce(t *testing.T) {
	loss := Loss{Run: 1, RanFor: early}
	h, _ := Judge(work.CrashHistory{}, &loss)
	again, verdict := Judge(h, &loss)
	if diff := cmp.Diff(h, again); diff != "" || verdict != Unaffected {
		t.Errorf("verdict %s, want %s; history (-want +got):\n%s", verdict, Unaffected, diff)
	}
}

func TestMostVMsOfAPoolStayOpenToOtherTasks(t *testing.T) {
	var got []int
	for _, vms := range []int{1, 3, 4, 11, 100} {
		got = append(got, VMs(20, vms))
	}
	if diff := cmp.Diff([]int{1, 1, 1, 2, 10}, got); diff != "" {
		t.Errorf("VMs kept for 20 jobs (-want +got):\n%s", diff)
	}
}
