package explainer

import (
	"fmt"
	"strings"
	"time"
)

// causes derives the likely causes from a story.
func causes(s *Timeline) []string {
	var found []string
	for _, rule := range []func(*Timeline) string{refused, unanswered, failedOut, failures, lostRuns, moved, waited, noLeader, logAway, folded} {
		if cause := rule(s); cause != "" {
			found = append(found, cause)
		}
	}
	if len(found) == 0 {
		found = append(found, "Nothing went wrong that the lines tell of.")
	}
	return found
}

func text(e *Event, key string) string {
	value, _ := e.Fields[key].(string)
	return value
}

// each calls f with the events of a message that name the id.
func (s *Timeline) each(message string, f func(e *Event)) {
	for i := range s.Events {
		if e := &s.Events[i]; e.Message == message && e.names(s.ID) {
			f(e)
		}
	}
}

func refused(s *Timeline) string {
	cause := ""
	s.each("accept", func(e *Event) {
		if outcome := text(e, "outcome"); strings.Contains(outcome, "(unrun)") {
			cause = fmt.Sprintf("Refused by %s: %s. It did not run.", e.Process, outcome)
		}
	})
	return cause
}

func unanswered(s *Timeline) string {
	cause := ""
	s.each("accept", func(e *Event) {
		if outcome := text(e, "outcome"); strings.Contains(outcome, "(unknown)") {
			cause = fmt.Sprintf("%s could not tell whether the log took it: %s. The client had to send it again.", e.Process, outcome)
		}
	})
	return cause
}

func failedOut(s *Timeline) string {
	cause := ""
	s.each("finish", func(e *Event) {
		if text(e, "state") == "failed" {
			cause = "Given up: a task failed as often as its queue allows."
		}
	})
	return cause
}

func failures(s *Timeline) string {
	byVM := map[string]int{}
	total := 0
	s.each("end", func(e *Event) {
		if text(e, "how") == "failed" {
			byVM[text(e, "vm")]++
			total++
		}
	})
	if total == 0 {
		return ""
	}
	return fmt.Sprintf("%d runs failed, by VM: %v. Failures on one VM alone point at its worker, on several at the job.", total, byVM)
}

func lostRuns(s *Timeline) string {
	reasons := map[string]int{}
	s.each("void", func(e *Event) { reasons[text(e, "reason")]++ })
	s.each("end", func(e *Event) {
		if how := text(e, "how"); how == "lapsed" || how == "broken" || how == "alone" {
			reasons[how]++
		}
	})
	if len(reasons) == 0 {
		return ""
	}
	return fmt.Sprintf("Runs were lost or never began, by reason: %v. \"lapsed\" and \"replaced\" mean a lost VM, the others a worker that refused.", reasons)
}

func moved(s *Timeline) string {
	count := 0
	s.each("halt", func(e *Event) {
		if text(e, "reason") == "move" {
			count++
		}
	})
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("Moved %d times, since it pressed on serving tasks of its VM.", count)
}

// longWait is a wait for a first place that is worth telling.
const longWait = 500 * time.Millisecond

func waited(s *Timeline) string {
	var accepted, placed time.Time
	s.each("accept", func(e *Event) {
		if accepted.IsZero() && text(e, "outcome") == "done" {
			accepted = e.Time
		}
	})
	s.each("place", func(e *Event) {
		if placed.IsZero() {
			placed = e.Time
		}
	})
	switch {
	case accepted.IsZero():
		return ""
	case placed.IsZero():
		return "Accepted and never placed: no VM of its pool had room, or the line was folded."
	case placed.Sub(accepted) > longWait:
		return fmt.Sprintf("Waited %s for a first place.", placed.Sub(accepted).Round(time.Millisecond))
	}
	return ""
}

func noLeader(s *Timeline) string {
	for i := range s.Events {
		if e := &s.Events[i]; e.Message == "lead ends" {
			return fmt.Sprintf("The lead changed meanwhile (%s: %s).", e.Process, text(e, "reason"))
		}
	}
	return ""
}

func logAway(s *Timeline) string {
	for i := range s.Events {
		if e := &s.Events[i]; e.Message == "log lost" {
			return fmt.Sprintf("%s lost the log meanwhile: %s.", e.Process, text(e, "error"))
		}
	}
	return ""
}

func folded(s *Timeline) string {
	for i := range s.Events {
		if s.Events[i].Message == "lines folded" {
			return "Some lines of that time were folded into counts; steps may be missing above."
		}
	}
	return ""
}
