package explainer

import (
	"strings"
	"testing"
)

const id = "5c0e7a21d94b36f8"

func logLine(second, process, message, fields string) string {
	return `  1.0 x {"@level":"info","@message":"` + message + `","@module":"` + process + `","@timestamp":"2026-01-01T00:00:` + second + `Z",` + fields + "}\n"
}

func TestTimelineNamesCauses(t *testing.T) {
	cases := []struct{ name, logs, want string }{
		{"refused", logLine("01.0", "entry-1", "accept", `"job":"`+id+`","outcome":"the log is out of reach from here (unrun)"`), "Refused by entry-1"},
		{"refused for room", logLine("01.0", "entry-1", "accept", `"job":"`+id+`","return":"31s","forecast":"700ms","outcome":"refused for room: would start in 40s (unrun)"`) +
			logLine("32.0", "entry-2", "accept", `"job":"`+id+`","return":"9s","forecast":"400ms","outcome":"refused for room: would start in 30s (unrun)"`),
			"Refused for room 2 times, last by entry-2, by a forecast 400ms old, to come back after 9s: refused for room: would start in 30s"},
		{"unknown outcome", logLine("01.0", "entry-1", "accept", `"job":"`+id+`","outcome":"the log gave no answer (unknown)"`), "could not tell"},
		{"late", logLine("01.0", "entry-1", "accept", `"job":"`+id+`","outcome":"done"`) + logLine("04.5", "entry-2", "place", `"task":"`+id+`.0.0.1","vm":"v1"`), "Waited 3.5s"},
		{"lost VM", logLine("01.0", "e", "place", `"task":"`+id+`.0.0.1","vm":"v1"`) + logLine("02.0", "e", "revoke", `"vm":"v1"`) + logLine("09.0", "e", "void", `"task":"`+id+`.0.0.1","vm":"v1","reason":"lapsed"`), "lapsed:1"},
		{"two runs", logLine("01.0", "e", "void", `"task":"`+id+`.0.0.1","vm":"v1","run":1,"reason":"lapsed"`) + logLine("01.1", "e", "place", `"task":"`+id+`.0.0.1","vm":"v2","run":2`) + logLine("01.5", "e", "unknown run", `"task":"`+id+`.0.0.1","vm":"v1","run":1`), "v1 still had run 1 of " + id + ".0.0.1"},
		{"no room", logLine("01.0", "e", "accept", `"job":"`+id+`","outcome":"done"`) + logLine("01.1", "e", "place", `"task":"`+id+`.0.0.1","vm":"v1"`) + logLine("02.0", "e", "end", `"task":"`+id+`.0.0.1","vm":"v1","how":"done"`) +
			logLine("05.0", "e", "load", `"vms":50,"evacuated":17,"millis":400000,"reserved":332450,"busy":186045,"filled":170644,"fillers":68,"slowed":22,"waiting":1,"waiting_fillers":60`) + logLine("07.8", "e", "place", `"task":"`+id+`.0.1.5","vm":"v1"`),
			"Waited 5.8s until " + id + ".0.1.5 was placed. Meanwhile 60 fillers and 1 other tasks waited; of 400 cores 332 were reserved, 186 in use by others than fillers and 171 by fillers; 22 of 68 fillers were slowed for serving tasks. 17 of 50 VMs were in evacuated failure domains."},
		{"put behind", logLine("01.0", "e", "sequence", `"job":"`+id+`","class":"late","work":120,"shortest":"4s","left":"3s","of":31,"cores":200`), "Put behind: cannot be in time (late). It needed 120 core-seconds and at least 4s, with 3s left to its objective; 31 jobs shared 200 cores."},
		{"attempts exhausted", logLine("01.0", "e", "end", `"task":"`+id+`.0.0.1","vm":"v1","how":"failed"`) + logLine("02.0", "e", "finish", `"job":"`+id+`","state":"failed"`), "Given up"},
		{"task that crashes its workers", logLine("02.0", "e", "crashes its workers", `"job":"`+id+`","task":"`+id+`.0.0.1","workers":2,"early":2`) +
			logLine("02.1", "e", "finish", `"job":"`+id+`","state":"failed"`), id + ".0.0.1 crashes its workers, 2 of them, 2 at once"},
		{"lost beside it", logLine("02.0", "e", "crash suspect", `"task":"`+id+`.0.0.1","verdict":"suspect"`) + logLine("02.1", "e", "quarantine", `"task":"`+id+`.0.0.1"`) +
			logLine("02.2", "e", "suspect cleared", `"task":"`+id+`.0.0.1","reason":"the culprit is known"`), "run 1 times in quarantine; cleared, since another task"},
		{"can't be done", logLine("02.0", "e", "can't be done", `"job":"`+id+`","task":"`+id+`.0.0.1","failures":3,"blamed":1,"vms":["v1","v2"],"started":9,"tasks":12`), id + ".0.0.1 failed 3 times, on [v1 v2]; 1 of these"},
		{"slow VM", logLine("01.0", "e", "place", `"task":"`+id+`.0.0.1","vm":"v1"`) + logLine("01.2", "e", "slow VM", `"vm":"v1","cause":"slow"`) + logLine("01.2", "e", "slow VM", `"vm":"v8","cause":"slow"`), "Slow VM avoided: map[v1:slow]"},
		{"copy", logLine("01.0", "e", "copy", `"task":"`+id+`.0.0.1","vm":"v1","cause":"slow VM"`), "Copy started, by cause: map[slow VM:1]"},
		{"moved", logLine("01.0", "e", "halt", `"task":"`+id+`.0.0.1","vm":"v1","reason":"move"`), "Moved 1 times"},
		{"gave way", logLine("01.0", "e", "gave way", `"task":"`+id+`.0.0.1","vm":"v1","to":"aa.0.0","lost":1500000000`), "Gave way 1 times to tasks of more urgent queues, the last time to aa.0.0; 1.5s of work"},
		{"promise", logLine("01.0", "e", "promise", `"job":"`+id+`","vm":"v1"`) + logLine("01.7", "e", "promise kept", `"job":"`+id+`","vm":"v1","after":700000000`), "Waits for a promised start: no VM had room, 1 promises, 1 kept, the longest after 700ms"},
		{"held back", logLine("01.0", "e", "kept for", `"job":"`+id+`","vm":"v1","holder":"aa.0.0"`), "Held back 1 times for room promised to a larger task, the last time to aa.0.0"},
		{"no leader", logLine("01.0", "e", "accept", `"job":"`+id+`","outcome":"done"`) + logLine("01.5", "e", "lead ends", `"reason":"fenced"`), "The lead changed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			timeline, err := Read(id, strings.NewReader(logLine("00.5", "other", "place", `"task":"ffffffffffffffff.0.0.1","vm":"v9"`)+logLine("00.9", "e", "load", `"millis":1`)+c.logs))
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.Join(timeline.Causes, "\n"); !strings.Contains(got, c.want) {
				t.Errorf("causes: %s\nwant: %s", got, c.want)
			}
			for _, e := range timeline.Events {
				if e.Process == "other" || e.Message == loadMessage && c.name != "no room" {
					t.Errorf("a line of another job is in the timeline: %+v", e)
				}
			}
		})
	}
}
