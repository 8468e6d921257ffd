package agentbroker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/leader"
	"knapweedspur/internal/job/logfollower"
	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/log/journal"
	"knapweedspur/internal/standin/keyedlogemulator"
	"knapweedspur/internal/wire/work"
)

// leadingBroker returns the broker of an entry that leads.
func leadingBroker(t *testing.T) *Broker {
	log, logger, clock := keyedlogemulator.New(), hclog.NewNullLogger(), func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	l := &leader.Leader{Journal: log, Logger: logger, Name: "entry", Incarnation: "one", CPUShare: 1, Settings: planner.Settings{MaxLease: time.Second}, MaxAppendBytes: 1 << 20}
	l.Follower = &logfollower.Follower{Journal: log, Logger: logger, Observer: l, Clock: clock}
	b := &Broker{Follower: l.Follower, Leader: l, Logger: logger}
	l.Agents = b
	l.Follower.Init()
	l.Init(time.Now())
	b.Init()
	member := jobreducer.MemberRecord(&work.Member{Name: "entry", Incarnation: "one", AnnouncedAt: time.Now(), CPUShare: 1})
	if _, err := log.Append(t.Context(), []journal.Record{member}, nil); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		<-l.Done
		<-l.Follower.Done
	})
	go l.Follower.Run(ctx)
	go l.Run(ctx)
	time.Sleep(time.Second)
	if l.Leading() == 0 {
		t.Fatal("the entry does not lead")
	}
	return b
}

// The leader ignores reports of a VM whose connection it takes for lost, and an agent
// introduces its worker once for each connection.
func TestLossOfReplacedConnectionIsNotReportedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := leadingBroker(t)
		status := work.WorkerStatus{VM: "vm", Incarnation: 1}
		hello := &work.Hello{WorkerStatus: status, AgentIncarnation: "agent"}
		var old *agentConn
		for n := range 20 {
			c := &agentConn{outgoing: make(chan *work.Packet, maxQueuedPackets), done: make(chan struct{})}
			if old != nil {
				b.remove(old)
			}
			b.register(c, hello)
			go b.Announce()
			b.register(c, &work.Hello{WorkerStatus: status, AgentIncarnation: "agent"}) // as for another worker process
			time.Sleep(time.Second)
			grants := len(c.outgoing)
			b.handlePacket(c, &work.Packet{Report: &work.Report{WorkerStatus: status}})
			time.Sleep(time.Second)
			if len(c.outgoing) == grants {
				t.Fatalf("a report on connection %d is ignored", n)
			}
			old = c
		}
	})
}
