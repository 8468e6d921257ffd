package jobreducer_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

// A fixed seed makes every run draw the same cases; make drawn draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261206"); err != nil {
		panic(err)
	}
}

const candidateJob = "0000000000000001"

func describedSince(s *jobreducer.State) int64 {
	if j := s.Jobs[candidateJob]; j != nil && j.Description != nil {
		return j.Description.Since
	}
	return -1
}

// An entry that rebuilt its view took another candidate for the job than one that had
// followed the log, or none.
func TestRebuiltViewHasSameJobAsFollowedLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, followed := keyedlogemulator.New(), jobreducer.New()
		var candidates []string
		offset := int64(0)
		for n := range rapid.IntRange(1, 12).Draw(t, "records") {
			job := &work.Job{ID: candidateJob, Steps: []work.Step{{Tasks: 1}}, Since: rapid.Int64Range(0, offset).Draw(t, "since")}
			r := jobreducer.AbsenceRecord(candidateJob, fmt.Sprint(n), &work.Absence{})
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				r = jobreducer.CandidateRecord(job, fmt.Sprint(n))
				candidates = append(candidates, r.Key)
			case 3:
				if len(candidates) > 0 && describedSince(followed) >= 0 {
					// A leader replaces a candidate only by the description that counts.
					job.Since = describedSince(followed)
					r = jobreducer.JobRecord(job)
				}
			case 4:
				if len(candidates) > 0 {
					i := rapid.IntRange(0, len(candidates)-1).Draw(t, "candidate")
					r = journal.Record{Key: candidates[i]}
				}
			}
			r.Offset = offset
			offset++
			if _, err := log.Append(t.Context(), []journal.Record{r}, nil); err != nil {
				t.Fatal(err)
			}
			if err := followed.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		rebuilt := jobreducer.New()
		if _, _, err := journal.ReadNewest(t.Context(), log, func(r journal.Record) {
			if err := rebuilt.Apply(r); err != nil {
				t.Fatal(err)
			}
		}); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(describedSince(followed), describedSince(rebuilt)); diff != "" {
			t.Errorf("description (-followed +rebuilt):\n%s", diff)
		}
	})
}

// A candidate that was appended before the job was reported absent, and answered, vanished.
func TestCandidateCountsUnlessReportedAbsentBefore(t *testing.T) {
	candidate := func(since int64) journal.Record {
		return jobreducer.CandidateRecord(&work.Job{ID: candidateJob, Steps: []work.Step{{Tasks: 1}}, Since: since}, "a")
	}
	absence := jobreducer.AbsenceRecord(candidateJob, "b", &work.Absence{})
	for name, c := range map[string]struct {
		records []journal.Record
		want    bool
	}{
		"alone":                           {[]journal.Record{candidate(0)}, true},
		"reported absent afterwards":      {[]journal.Record{candidate(0), absence}, true},
		"submitted before the report":     {[]journal.Record{absence, candidate(0)}, false},
		"submitted after the report":      {[]journal.Record{absence, candidate(1)}, true},
		"another job was reported absent": {[]journal.Record{jobreducer.AbsenceRecord("0000000000000002", "b", &work.Absence{}), candidate(0)}, true},
	} {
		s := jobreducer.New()
		for i, r := range c.records {
			r.Offset = int64(i)
			if err := s.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		if got := s.Jobs[candidateJob].Accepted(); got != c.want {
			t.Errorf("%s: accepted %t, want %t", name, got, c.want)
		}
	}
}
