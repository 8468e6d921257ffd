package soaktester

import (
	"strings"
	"testing"
	"time"

	"knapweedspur/platform/platformemulator"
)

// crash lets a task start and crash its worker a number of times.
func (c *checker) crash(times int, now time.Time) {
	for run := range times {
		c.Started("a", "j.0.0.0", run+1, now, now)
		c.Ended("a", "j.0.0.0", run+1, "crashed", now.Add(crashDelay))
	}
}

func TestCheckerReportsStartsAfterCrashes(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name, want string
		apply      func(c *checker)
	}{
		{"started three times after three crashes", "started 3 times after 3 crashes", func(c *checker) { c.crash(6, now) }},
		{"started twice after three crashes", "", func(c *checker) { c.crash(5, now) }},
		// The worker crashed before the task could be the cause.
		{"crashes of other causes", "", func(c *checker) {
			for run := range 9 {
				c.Started("a", "j.0.0.0", run, now, now)
				c.Ended("a", "j.0.0.0", run, "crashed", now)
			}
		}},
		{"job of another task failed", "failed without cause", func(c *checker) { c.recordState("i", platformemulator.StateFailed, nil, now) }},
		{"given up after one crash", "given up too early", func(c *checker) {
			c.crash(1, now)
			c.recordState("j", platformemulator.StateFailed, nil, now)
		}},
		{"given up after two crashes", "", func(c *checker) {
			c.crash(2, now)
			c.recordResponse("j", "submit", 200, now)
			c.recordState("j", platformemulator.StateFailed, nil, now)
			c.checkFinal(now)
		}},
		{"completed", "completed though a task crashes its workers", func(c *checker) {
			c.recordResponse("j", "submit", 200, now)
			c.recordState("j", platformemulator.StateCompleted, nil, now)
			c.checkFinal(now)
		}},
		{"never given up", "not finished", func(c *checker) {
			c.crash(3, now)
			c.recordResponse("j", "submit", 200, now)
			c.checkFinal(now)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newChecker(now)
			c.jobSizes["j"] = size{100, 100}
			c.workerCapacity["a"] = []capacityChange{{now, size{150, 150}}}
			c.addCrashing("j.0.0.0")
			test.apply(c)
			got := strings.Join(c.violations, "\n")
			if test.want == "" && got != "" || !strings.Contains(got, test.want) {
				t.Errorf("found %q, want %q", got, test.want)
			}
		})
	}
}
