package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/standin/logemulator"
	"knapweedspur/internal/wire/admin"
	"knapweedspur/internal/wire/message"
)

// watch checks that no process ever goes back to a lower offset.
func (s *stage) watch(ctx context.Context) {
	highest := map[string]uint64{}
	for ctx.Err() == nil {
		for _, i := range s.alive() {
			var status admin.Status
			if code, _ := s.call(i, http.MethodGet, "/v1/status", nil, &status); code != http.StatusOK {
				continue
			}
			seen := map[string]uint64{status.Entry: status.Offset}
			for _, a := range status.Agents {
				seen[status.Entry+" of "+a.Incarnation] = a.Offset
			}
			for name, offset := range seen {
				if offset < highest[name] {
					s.t.Errorf("%s went back from offset %d to %d", name, highest[name], offset)
				}
				highest[name] = offset
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func change(id, who string, base uint64, deadline string) *message.Change {
	body := strings.Replace(declarations["thumbnails"], "2s", deadline, 1)
	return &message.Change{ID: id, Who: who, Edits: []message.Edit{{Name: "thumbnails", BaseVersion: base, Body: body}}}
}

// version returns the version of thumbnails in force.
func (s *stage) version() uint64 {
	var list []admin.DeclarationVersion
	s.call(-1, http.MethodGet, "/v1/declarations", nil, &list)
	for _, v := range list {
		if v.Name == "thumbnails" {
			return v.Version
		}
	}
	return 0
}

// everywhere reports whether all entries and agents have a version in force.
func (s *stage) everywhere(version uint64) bool {
	for _, i := range s.alive() {
		var status admin.Status
		if code, _ := s.call(i, http.MethodGet, "/v1/status", nil, &status); code != http.StatusOK || status.Offset < version {
			return false
		}
		for _, a := range status.Agents {
			if a.Offset < version {
				return false
			}
		}
	}
	return true
}

func TestOnlyOneOfRacingChangesIsAccepted(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		base := s.version()
		var mu sync.Mutex
		var won, lost []string
		var group sync.WaitGroup
		for i, who := range []string{"anna", "bjorn", "cat"} {
			group.Go(func() {
				code, text := s.call(i, http.MethodPost, "/v1/changes", change("race-"+who, who, base, fmt.Sprintf("%dms", 500+i)), nil)
				mu.Lock()
				defer mu.Unlock()
				if code == http.StatusOK {
					won = append(won, who)
				} else {
					lost = append(lost, text)
				}
			})
		}
		group.Wait()
		if len(won) != 1 || len(lost) != 2 {
			t.Fatalf("won: %v, lost: %v", won, lost)
		}
		for _, text := range lost {
			if !strings.Contains(text, "set by "+won[0]) || !strings.HasPrefix(text, "unrun") {
				t.Errorf("a loser is not told by whom it lost: %q", text)
			}
		}
		took := s.eventually(inForce, "the change is in force everywhere", func() bool { return s.everywhere(s.version()) })
		t.Logf("in force everywhere after %v", took)
	})
}

func TestConfigurationOffsetNeverDecreases(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.log.RetainedValues = 60
		s.publish(declarations)
		ctx, stop := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { s.watch(ctx) })
		accepted := ""
		for i := range 90 {
			deadline := fmt.Sprintf("%dms", 500+i)
			code, text := s.call(s.alive()[i%len(s.alive())], http.MethodPost, "/v1/changes", change(fmt.Sprint("step-", i), "anna", s.version(), deadline), nil)
			if code == http.StatusOK {
				accepted = deadline
			} else if !strings.Contains(text, "unrun") {
				t.Errorf("change %d: %d %s", i, code, text)
			}
			switch i {
			case 20:
				s.log.SetFaults(logemulator.Faults{LoseEvery: 3})
			case 40:
				s.log.SetFaults(logemulator.Faults{})
				s.killEntry(1)
			case 50:
				s.startEntry(1)
				time.Sleep(5 * time.Second)
			case 70:
				s.killEntry(2)
				s.killAgent(0)
			case 80:
				s.startEntry(2)
				s.startAgent(0)
				time.Sleep(5 * time.Second)
			}
			time.Sleep(time.Second)
		}
		s.eventually(inForce, "the last change is in force everywhere", func() bool { return s.everywhere(s.version()) })
		stop()
		group.Wait()
		for _, i := range s.alive() {
			var list []admin.DeclarationVersion
			s.call(i, http.MethodGet, "/v1/declarations", nil, &list)
			for _, v := range list {
				if v.Name == "thumbnails" && !strings.Contains(v.Body, accepted) {
					t.Errorf("entry %d has %q in force; the last accepted deadline is %s", i, v.Body, accepted)
				}
			}
		}
	})
}

func TestEntryStartsDuringLogOutage(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		version := s.version()
		s.log.SetFaults(logemulator.Faults{Down: true})
		s.killEntry(1)
		s.startEntry(1)
		s.eventually(20*time.Second, "the new entry serves with the configuration of another", func() bool {
			return strings.HasPrefix(s.get(1, "/thumbnails/check"), "GET /check")
		})
		var list []admin.DeclarationVersion
		s.call(1, http.MethodGet, "/v1/declarations", nil, &list)
		got := uint64(0)
		for _, v := range list {
			if v.Name == "thumbnails" {
				got = v.Version
			}
		}
		if diff := cmp.Diff(version, got); diff != "" {
			t.Errorf("version in force (-want +got):\n%s", diff)
		}
		s.log.SetFaults(logemulator.Faults{})
		s.submitTo(1, "quick", "quick-1")
		s.ended(time.Minute, "quick-1")
	})
}

func TestEntryStartsAfterLogTruncation(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.log.RetainedValues = 150
		s.publish(declarations)
		s.submit("season", "season-1")
		time.Sleep(10 * time.Minute)
		s.ended(time.Minute, "season-1")
		for i := range 3 {
			s.killEntry(i)
			s.startEntry(i)
			time.Sleep(10 * time.Second)
		}
		if run := s.run("season-1"); run.Done != 8 {
			t.Errorf("the run is forgotten: %+v", run)
		}
		s.submit("quick", "quick-1")
		s.ended(time.Minute, "quick-1")
	})
}
