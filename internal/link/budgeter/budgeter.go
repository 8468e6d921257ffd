// Package budgeter divides the memory and the connections of a process among all who have
// an unfinished request. When either runs short it names the connections to close: those
// that hold the most for the longest time without sending the rest of their request.
package budgeter

import (
	"sync"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	// Idle connections are between requests, or have sent nothing yet.
	Idle Phase = iota
	// Receiving connections have sent a part of a request or of a frame.
	Receiving
	// Running connections have sent a whole request and wait for its answer. They are
	// never closed.
	Running
	// Answering connections have an answer written to them.
	Answering
	// Linked connections carry messages of an identified peer. They are never closed.
	Linked
	// Ending connections were told to end. They hold nothing but their descriptor.
	Ending
)

const (
	// ConnectionBytes is what an idle connection costs: the stack of its goroutine, the
	// buffers of net/http and its records.
	ConnectionBytes = 32 << 10
	// smallRequest is what an ordinary request holds at most, its connection included.
	smallRequest = 128 << 10
	// endingDivisor divides the limit of bytes into what connections that were told to end
	// may still hold.
	endingDivisor = 2
	// answerPatience is how long the peer may leave a part of an answer unread before the
	// connection counts as one that can be closed.
	answerPatience = time.Second
	// minAge is the least age that counts, so that the bytes held decide among the young,
	// and maxIdleAge the largest one of a connection without a request: it is not slow.
	minAge     = 10 * time.Millisecond
	maxIdleAge = time.Second
)

// Limits bound all connections of a process together.
type Limits struct {
	// Bytes that all requests in progress may hold, the cost of connections included.
	Bytes int64
	// Connections that may be open.
	Connections int
}

// Budget is the budget of one process.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	groups []*Group
	total  Usage
	peak   Usage
	// ending is what connections that were told to end held, until they have ended.
	ending int64
}

// Usage is what connections hold.
type Usage struct {
	Bytes       int64 `json:"bytes"`
	Connections int   `json:"connections"`
}

// Group is the connections of one listener.
type Group struct {
	// share of the limits, from 0 to 1, that other groups leave to this one.
	share   float64
	used    Usage
	holders map[*Holder]struct{}
}

// Holder is one connection. Its fields are guarded by the budget.
type Holder struct {
	group *Group
	bytes int64
	// ending is what the connection held when it was told to end.
	ending int64
	phase  Phase
	since  time.Time
	// Close ends the connection because of a shortage. It is called without the lock of the
	// budget, by the connection that needs the room, and must not block.
	Close func(Shortage)
}

// Shortage is what there is too little of.
type Shortage string

// The shortages.
const (
	Memory      Shortage = "memory"
	Connections Shortage = "connections"
)

// New returns a budget with limits.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// Resize changes the limits. Connections beyond them stay until they end or something is
// reserved.
func (b *Budget) Resize(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// AddGroup adds a group to which the others leave a share of the limits.
func (b *Budget) AddGroup(share float64) *Group {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := &Group{share: share, holders: map[*Holder]struct{}{}}
	b.groups = append(b.groups, g)
	return g
}

// Limits returns the limits.
func (b *Budget) Limits() Limits {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits
}

// Usage returns what is held now, and the most of each that ever was.
func (b *Budget) Usage() (current, peak Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.peak
}

// Open adds a new connection to a group. It returns false if there is no room and nothing
// that can be closed.
func (b *Budget) Open(g *Group, h *Holder, now time.Time) bool {
	b.mu.Lock()
	h.group, h.phase, h.since = g, Idle, now
	victims, ok := b.makeRoom(h, Usage{ConnectionBytes, 1}, now)
	if ok {
		g.holders[h] = struct{}{}
		b.add(h, Usage{ConnectionBytes, 1})
	}
	b.mu.Unlock()
	closeAll(victims)
	return ok
}

// Reserve adds to the bytes that a connection holds. It returns false if there is no room
// and no costlier connection that can be closed; the connection then keeps what it held.
func (b *Budget) Reserve(h *Holder, bytes int64, now time.Time) bool {
	b.mu.Lock()
	if !h.open() {
		b.mu.Unlock()
		return false
	}
	victims, ok := b.makeRoom(h, Usage{Bytes: bytes}, now)
	if ok {
		b.add(h, Usage{Bytes: bytes})
	}
	b.mu.Unlock()
	closeAll(victims)
	return ok
}

// Release takes back a part of what a connection holds.
func (b *Budget) Release(h *Holder, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.open() {
		b.add(h, Usage{Bytes: -bytes})
	}
}

// Enter changes the phase of a connection. It returns false if the connection was told to
// end.
func (b *Budget) Enter(h *Holder, phase Phase, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.phase == Ending {
		return false
	}
	h.phase, h.since = phase, now
	return true
}

// End takes back the bytes that a connection holds, which is about to end.
func (b *Budget) End(h *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(h)
}

func (b *Budget) end(h *Holder) {
	if h.open() {
		h.ending = h.bytes
		b.ending += h.ending
		b.add(h, Usage{Bytes: -h.bytes})
		h.phase = Ending
	}
}

// open reports whether the connection is in the budget and was not told to end.
func (h *Holder) open() bool {
	_, known := h.group.holders[h]
	return known && h.phase != Ending
}

// Remove takes back all that a connection holds.
func (b *Budget) Remove(h *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(h)
}

func (b *Budget) remove(h *Holder) {
	if _, open := h.group.holders[h]; !open {
		return
	}
	b.add(h, Usage{-h.bytes, -1})
	b.ending -= h.ending
	h.ending = 0
	delete(h.group.holders, h)
}

func (b *Budget) add(h *Holder, u Usage) {
	h.bytes += u.Bytes
	for _, total := range []*Usage{&h.group.used, &b.total} {
		total.Bytes += u.Bytes
		total.Connections += u.Connections
	}
	b.peak.Bytes, b.peak.Connections = max(b.peak.Bytes, b.total.Bytes), max(b.peak.Connections, b.total.Connections)
}

type victim struct {
	holder   *Holder
	shortage Shortage
}

func closeAll(victims []victim) {
	for _, v := range victims {
		v.holder.Close(v.shortage)
	}
}

// makeRoom ends connections until more fits, and returns those to close. It returns false
// if that is not possible.
func (b *Budget) makeRoom(h *Holder, more Usage, now time.Time) (victims []victim, ok bool) {
	for {
		shortage := b.shortage(h.group, more)
		if shortage == "" {
			return victims, true
		}
		costliest := b.costliest(h, more, shortage, now)
		if costliest == nil || shortage == Memory && !b.mayEnd(costliest, h.bytes+more.Bytes) {
			return victims, false
		}
		if shortage == Connections {
			b.remove(costliest)
		} else {
			b.end(costliest)
		}
		victims = append(victims, victim{costliest, shortage})
	}
}

// mayEnd reports whether a connection may be told to end for one that will hold the given
// bytes. The memory of those that were told is free only when they have ended, so large
// requests wait for that.
func (b *Budget) mayEnd(h *Holder, asked int64) bool {
	return asked <= smallRequest || b.ending == 0 || b.ending+h.bytes <= b.limits.Bytes/endingDivisor
}

// shortage returns what a group would lack with more, empty if all fits. What other groups
// have not used of their share is not available.
func (b *Budget) shortage(g *Group, more Usage) Shortage {
	bytes, connections := more.Bytes, more.Connections
	for _, other := range b.groups {
		used, share := other.used, b.shareOf(other)
		if other == g {
			share = Usage{}
		}
		bytes += max(used.Bytes, share.Bytes)
		connections += max(used.Connections, share.Connections)
	}
	switch {
	case g.used.Connections+more.Connections > b.shareOf(g).Connections && connections > b.limits.Connections:
		return Connections
	case g.used.Bytes+more.Bytes > b.shareOf(g).Bytes && bytes > b.limits.Bytes:
		return Memory
	}
	return ""
}

func (b *Budget) shareOf(g *Group) Usage {
	return Usage{int64(g.share * float64(b.limits.Bytes)), int(g.share * float64(b.limits.Connections))}
}

// costliest returns the connection that holds the most for the longest, among those that
// can be closed and whose group uses more than its share; nil if there is none, or if the
// one that asks for more would be costlier.
func (b *Budget) costliest(asking *Holder, more Usage, shortage Shortage, now time.Time) *Holder {
	var found *Holder
	for _, g := range b.groups {
		share := b.shareOf(g)
		if g == asking.group || g.used.Bytes > share.Bytes || g.used.Connections > share.Connections {
			found = g.costliest(found, asking, shortage, now)
		}
	}
	if found == nil || found.phase == Ending {
		return found
	}
	if asking.closable(shortage, now) && asking.cost(asking.bytes+more.Bytes, now) > found.cost(found.bytes, now) {
		return nil
	}
	return found
}

// costliest returns the costliest of the connections of a group that can be closed and one
// that was found before, which may be nil. One that was told to end has only a descriptor to
// give, and goes before all others for that.
func (g *Group) costliest(found, asking *Holder, shortage Shortage, now time.Time) *Holder {
	if found != nil && found.phase == Ending {
		return found
	}
	for h := range g.holders {
		if h == asking || !h.closable(shortage, now) {
			continue
		}
		if h.phase == Ending {
			return h
		}
		if found == nil || h.costlier(found, now) {
			found = h
		}
	}
	return found
}

// costlier reports whether a connection is to be closed before another one.
func (h *Holder) costlier(other *Holder, now time.Time) bool {
	cost, otherCost := h.cost(h.bytes, now), other.cost(other.bytes, now)
	return cost > otherCost || cost == otherCost && h.since.Before(other.since)
}

// closable reports whether a connection may be closed in a shortage.
func (h *Holder) closable(shortage Shortage, now time.Time) bool {
	switch h.phase {
	case Idle, Receiving:
		return true
	case Ending:
		return shortage == Connections
	case Answering:
		return now.Sub(h.since) >= answerPatience
	default:
		return false
	}
}

// cost returns bytes times seconds held.
func (h *Holder) cost(bytes int64, now time.Time) float64 {
	age := max(now.Sub(h.since), minAge)
	if h.phase == Idle {
		age = min(age, maxIdleAge)
	}
	return float64(bytes) * age.Seconds()
}
