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
		play       func(c *checker)
	}{
		{"two places", "two places", func(c *checker) {
			c.Started("a", "j.0.0.0", 1, now)
			c.Started("b", "j.0.0.0", 2, now)
		}},
		{"done twice", "done twice", func(c *checker) {
			c.Started("a", "j.0.0.0", 1, now)
			c.Ended("a", "j.0.0.0", 1, "done", now)
			c.Noted("a", "j.0.0.0", 1, "done", now)
			c.Started("b", "j.0.0.0", 2, now)
		}},
		{"noted too late", "noted too late", func(c *checker) {
			c.Started("a", "j.0.0.0", 1, now)
			c.Ended("a", "j.0.0.0", 1, "done", now)
			c.Started("b", "j.0.0.0", 2, now)
			c.Noted("a", "j.0.0.0", 1, "done", now)
		}},
		{"capacity", "over capacity", func(c *checker) {
			c.Started("a", "j.0.0.0", 1, now)
			c.Started("a", "j.0.0.1", 1, now)
		}},
		{"refused and run", "refused and run", func(c *checker) {
			c.refuse("j")
			c.Started("a", "j.0.0.0", 1, now)
		}},
		{"canceled and run", "canceled and run", func(c *checker) {
			c.answer("j", "cancel", 200, now)
			c.Started("a", "j.0.0.0", 1, now.Add(time.Minute))
		}},
		{"unasked", "unasked", func(c *checker) { c.Started("a", "x.0.0.0", 1, now) }},
		{"lost", "lost", func(c *checker) {
			c.answer("j", "submit", 200, now)
			c.answer("j", "state", 410, now.Add(time.Minute))
		}},
		{"back", "went back", func(c *checker) {
			c.state("j", "completed", nil, now)
			c.state("j", "running", nil, now)
		}},
		{"not done", "not done", func(c *checker) {
			c.answer("j", "submit", 200, now)
			c.finish(now)
		}},
		// Soak, seed 302: the answer to the cancel was lost and the job was
		// canceled; the checker had counted only answered cancels.
		{"canceled unasked", "canceled unasked", func(c *checker) {
			c.answer("j", "submit", 200, now)
			c.state("j", platformemulator.StateCanceled, nil, now)
			c.finish(now)
		}},
		{"canceled, answer lost", "", func(c *checker) {
			c.answer("j", "submit", 200, now)
			c.ask("j")
			c.state("j", platformemulator.StateCanceled, nil, now)
			c.finish(now)
		}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := newChecker(now)
			c.sizes["j"] = size{100, 100}
			c.limit["a"], c.limit["b"] = size{150, 150}, size{150, 150}
			x.play(c)
			got := strings.Join(c.broken, "\n")
			if x.want == "" && got != "" || !strings.Contains(got, x.want) {
				t.Errorf("found %q, want %q", got, x.want)
			}
		})
	}
}
