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

// watchOffsets checks that the configuration offset of no entry or agent
// decreases, until the context ends.
func (c *cluster) watchOffsets(ctx context.Context) {
	highest := map[string]uint64{}
	for ctx.Err() == nil {
		for _, i := range c.runningEntries() {
			var status admin.Status
			if code, _ := c.call(i, http.MethodGet, "/v1/status", nil, &status); code != http.StatusOK {
				continue
			}
			seen := map[string]uint64{status.Entry: status.Offset}
			for _, a := range status.Agents {
				seen[status.Entry+" of "+a.Incarnation] = a.Offset
			}
			for name, offset := range seen {
				if offset < highest[name] {
					c.t.Errorf("offset of %s decreased from %d to %d", name, highest[name], offset)
				}
				highest[name] = offset
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// deadlineChange returns a change of the deadline of service thumbnails, based
// on a version.
func deadlineChange(id, who string, base uint64, deadline string) *message.Change {
	body := strings.Replace(declarations["thumbnails"], "2s", deadline, 1)
	return &message.Change{ID: id, Who: who, Edits: []message.Edit{{Name: "thumbnails", BaseVersion: base, Body: body}}}
}

// thumbnailsVersion returns the version of service thumbnails in force, or 0.
func (c *cluster) thumbnailsVersion() uint64 {
	var list []admin.DeclarationVersion
	c.call(-1, http.MethodGet, "/v1/declarations", nil, &list)
	for _, v := range list {
		if v.Name == "thumbnails" {
			return v.Version
		}
	}
	return 0
}

// inForceEverywhere reports whether all entries and agents have applied a
// version.
func (c *cluster) inForceEverywhere(version uint64) bool {
	for _, i := range c.runningEntries() {
		var status admin.Status
		if code, _ := c.call(i, http.MethodGet, "/v1/status", nil, &status); code != http.StatusOK || status.Offset < version {
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
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		base := c.thumbnailsVersion()
		var mu sync.Mutex
		var accepted, rejected []string
		var group sync.WaitGroup
		for i, who := range []string{"anna", "bjorn", "cat"} {
			group.Go(func() {
				code, text := c.call(i, http.MethodPost, "/v1/changes", deadlineChange("race-"+who, who, base, fmt.Sprintf("%dms", 500+i)), nil)
				mu.Lock()
				defer mu.Unlock()
				if code == http.StatusOK {
					accepted = append(accepted, who)
				} else {
					rejected = append(rejected, text)
				}
			})
		}
		group.Wait()
		if len(accepted) != 1 || len(rejected) != 2 {
			t.Fatalf("accepted: %v, rejected: %v", accepted, rejected)
		}
		for _, text := range rejected {
			if !strings.Contains(text, "set by "+accepted[0]) || !strings.HasPrefix(text, "unrun") {
				t.Errorf("the refusal does not name the operator whose change was accepted: %q", text)
			}
		}
		elapsed := c.eventually(propagationLimit, "the change is in force everywhere", func() bool { return c.inForceEverywhere(c.thumbnailsVersion()) })
		t.Logf("in force everywhere after %v", elapsed)
	})
}

func TestConfigurationOffsetNeverDecreases(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.log.RetainedValues = 60
		c.publish(declarations)
		ctx, stop := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { c.watchOffsets(ctx) })
		lastDeadline := ""
		for i := range 90 {
			deadline := fmt.Sprintf("%dms", 500+i)
			code, text := c.call(c.runningEntries()[i%len(c.runningEntries())], http.MethodPost, "/v1/changes", deadlineChange(fmt.Sprint("step-", i), "anna", c.thumbnailsVersion(), deadline), nil)
			if code == http.StatusOK {
				lastDeadline = deadline
			} else if !strings.Contains(text, "unrun") {
				t.Errorf("change %d: %d %s", i, code, text)
			}
			switch i {
			case 20:
				c.log.SetFaults(logemulator.Faults{LoseEvery: 3})
			case 40:
				c.log.SetFaults(logemulator.Faults{})
				c.killEntry(1)
			case 50:
				c.startEntry(1)
				time.Sleep(5 * time.Second)
			case 70:
				c.killEntry(2)
				c.killAgent(0)
			case 80:
				c.startEntry(2)
				c.startAgent(0)
				time.Sleep(5 * time.Second)
			}
			time.Sleep(time.Second)
		}
		c.eventually(propagationLimit, "the last change is in force everywhere", func() bool { return c.inForceEverywhere(c.thumbnailsVersion()) })
		stop()
		group.Wait()
		for _, i := range c.runningEntries() {
			var list []admin.DeclarationVersion
			c.call(i, http.MethodGet, "/v1/declarations", nil, &list)
			for _, v := range list {
				if v.Name == "thumbnails" && !strings.Contains(v.Body, lastDeadline) {
					t.Errorf("entry %d has %q in force; want the last accepted deadline %s", i, v.Body, lastDeadline)
				}
			}
		}
	})
}

func TestEntryStartsDuringLogOutage(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		version := c.thumbnailsVersion()
		c.log.SetFaults(logemulator.Faults{Down: true})
		c.killEntry(1)
		c.startEntry(1)
		c.eventually(20*time.Second, "the new entry serves with the configuration of a peer", func() bool {
			return strings.HasPrefix(c.get(1, "/thumbnails/check"), "GET /check")
		})
		var list []admin.DeclarationVersion
		c.call(1, http.MethodGet, "/v1/declarations", nil, &list)
		got := uint64(0)
		for _, v := range list {
			if v.Name == "thumbnails" {
				got = v.Version
			}
		}
		if diff := cmp.Diff(version, got); diff != "" {
			t.Errorf("version in force (-want +got):\n%s", diff)
		}
		c.log.SetFaults(logemulator.Faults{})
		c.submitTo(1, "quick", "quick-1")
		c.waitEnded(time.Minute, "quick-1")
	})
}

func TestEntryStartsAfterLogTruncation(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.log.RetainedValues = 150
		c.publish(declarations)
		c.submit("season", "season-1")
		time.Sleep(10 * time.Minute)
		c.waitEnded(time.Minute, "season-1")
		for i := range 3 {
			c.killEntry(i)
			c.startEntry(i)
			time.Sleep(10 * time.Second)
		}
		if run := c.run("season-1"); run.Done != 8 {
			t.Errorf("the completed run was lost: %+v", run)
		}
		c.submit("quick", "quick-1")
		c.waitEnded(time.Minute, "quick-1")
	})
}
