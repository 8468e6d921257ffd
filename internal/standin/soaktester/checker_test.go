package soaktester

import (
	"strings"
	"testing"
	"time"

	"knapweedspur/platform/platformemulator"
)

func TestCheckerReportsViolations(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name, want string
		apply      func(c *checker)
	}{
		{"concurrent runs", "concurrent runs", func(c *checker) {
			c.Started("a", "j.0.0.0", 1, now, now)
			c.Started("b", "j.0.0.0", 2, now, now)
		}},
		{"started in evacuated domain", "started in evacuated domain", func(c *checker) {
			c.evacuatedAt[c.workerDomain["a"]] = now
			c.Started("a", "j.0.0.0", 1, now.Add(platformemulator.EvacuationBound+1), now)
		}},
		{"started after completion", "started after completion", func(c *checker) {
			c.Started("a", "j.0.0.0", 1, now, now)
			c.Ended("a", "j.0.0.0", 1, "done", now)
			c.Acknowledged("a", "j.0.0.0", 1, "done", false, now)
			c.Started("b", "j.0.0.0", 2, now, now)
		}},
		{"superseded run acknowledged", "superseded run acknowledged", func(c *checker) {
			c.Started("a", "j.0.0.0", 1, now, now)
			c.Ended("a", "j.0.0.0", 1, "done", now)
			c.Started("b", "j.0.0.0", 2, now, now)
			c.Acknowledged("a", "j.0.0.0", 1, "done", false, now)
		}},
		{"earlier run started late", "started between completion and acknowledgment", func(c *checker) {
			c.Started("b", "j.0.0.0", 2, now, now)
			c.Ended("b", "j.0.0.0", 2, "done", now)
			c.Started("a", "j.0.0.0", 1, now, now.Add(time.Second))
			c.Acknowledged("b", "j.0.0.0", 2, "done", false, now.Add(time.Second))
		}},
		{"restarted after the lease", "", func(c *checker) {
			c.Started("b", "j.0.0.0", 2, now, now)
			c.Ended("b", "j.0.0.0", 2, "done", now)
			c.Started("a", "j.0.0.0", 1, now, now.Add(time.Second))
			c.Acknowledged("b", "j.0.0.0", 2, "done", true, now.Add(time.Second))
		}},
		{"completed job started", "completed job started", func(c *checker) {
			c.recordState("j", platformemulator.StateCompleted, nil, now)
			c.Started("a", "j.0.0.0", 1, now.Add(time.Minute), now.Add(time.Minute))
		}},
		{"absent job started", "absent job started", func(c *checker) {
			c.recordSubmission("j")
			c.recordResponse("j", "state", 410, now)
			c.Started("a", "j.0.0.0", 1, now, now)
		}},
		{"absent job submitted again", "", func(c *checker) {
			c.recordResponse("j", "cancel", 410, now)
			c.recordSubmission("j")
			c.Started("a", "j.0.0.0", 1, now, now)
		}},
		{"canceled job, order delayed", "", func(c *checker) {
			c.recordResponse("j", "cancel", 200, now)
			c.Started("a", "j.0.0.0", 1, now, now.Add(time.Minute))
		}},
		{"capacity", "over capacity", func(c *checker) {
			c.Started("a", "j.0.0.0", 1, now, now)
			c.Started("a", "j.0.0.1", 1, now, now)
		}},
		{"capacity gone for longer than the bound", "over capacity", func(c *checker) {
			c.setCapacity("a", size{150, 50}, now)
			c.Started("a", "j.0.0.0", 1, now.Add(capacityBound+time.Second), now.Add(capacityBound+time.Second))
		}},
		{"capacity gone within the bound", "", func(c *checker) {
			c.setCapacity("a", size{150, 50}, now)
			c.Started("a", "j.0.0.0", 1, now.Add(capacityBound-time.Second), now.Add(capacityBound-time.Second))
		}},
		{"capacity gone, order delayed", "", func(c *checker) {
			c.setCapacity("a", size{150, 50}, now)
			c.Started("a", "j.0.0.0", 1, now, now.Add(time.Minute))
		}},
		{"capacity back", "", func(c *checker) {
			c.setCapacity("a", size{}, now)
			c.setCapacity("a", size{100, 100}, now.Add(time.Minute))
			c.Started("a", "j.0.0.0", 1, now.Add(time.Minute), now.Add(time.Minute))
		}},
		{"refused job started", "refused job started", func(c *checker) {
			c.recordRefusal("j")
			c.Started("a", "j.0.0.0", 1, now, now)
		}},
		{"canceled job started", "canceled job started", func(c *checker) {
			c.recordResponse("j", "cancel", 200, now)
			c.Started("a", "j.0.0.0", 1, now.Add(time.Minute), now.Add(time.Minute))
		}},
		{"unknown job started", "unknown job started", func(c *checker) { c.Started("a", "x.0.0.0", 1, now, now) }},
		{"lost", "lost", func(c *checker) {
			c.recordResponse("j", "submit", 200, now)
			c.recordResponse("j", "state", 410, now.Add(time.Minute))
		}},
		{"terminal state changed", "terminal state changed", func(c *checker) {
			c.recordState("j", "completed", nil, now)
			c.recordState("j", "running", nil, now)
		}},
		{"not finished", "not finished", func(c *checker) {
			c.recordResponse("j", "submit", 200, now)
			c.checkFinal(now)
		}},
		{"canceled without a request", "canceled without a request", func(c *checker) {
			c.recordResponse("j", "submit", 200, now)
			c.recordState("j", platformemulator.StateCanceled, nil, now)
			c.checkFinal(now)
		}},
		// Soak seed 302: the answer to the cancel was lost and the job was canceled.
		// The checker had counted only answered cancels and reported a violation.
		{"canceled, answer lost", "", func(c *checker) {
			c.recordResponse("j", "submit", 200, now)
			c.recordCancelRequest("j")
			c.recordState("j", platformemulator.StateCanceled, nil, now)
			c.checkFinal(now)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newChecker(now)
			c.jobSizes["j"] = size{100, 100}
			c.setCapacity("a", size{150, 150}, now)
			c.setCapacity("b", size{150, 150}, now)
			test.apply(c)
			got := strings.Join(c.violations, "\n")
			if test.want == "" && got != "" || !strings.Contains(got, test.want) {
				t.Errorf("found %q, want %q", got, test.want)
			}
		})
	}
}
