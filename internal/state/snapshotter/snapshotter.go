// Package snapshotter keeps snapshots of a stream's fold in a stream beside
// it, so that the records under them may go.
package snapshotter

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

const (
	// PartSize is the most bytes of one part.
	MaxPartSize = 256 << 10
	// suffix names the stream of a stream's snapshots.
	suffix = ".snapshots"
)

// ErrNone means that there is no snapshot.
var ErrNoSnapshot = errors.New("there is no whole snapshot")

// Snapshot is the bytes of a fold and the offset that it goes on from.
type Snapshot struct {
	Next uint64
	Data []byte
}

// Write appends a snapshot in parts. A snapshot that breaks off is never read.
func Write(ctx context.Context, log logclient.Log, stream string, s Snapshot) error {
	sum := sha256.Sum256(s.Data)
	parts := max(1, (len(s.Data)+MaxPartSize-1)/MaxPartSize)
	for i := 0; i < parts; i++ {
		part := message.Part{
			Stream: stream, Next: s.Next, Part: i, Parts: parts, Sum: sum[:],
			Data: s.Data[i*MaxPartSize : min((i+1)*MaxPartSize, len(s.Data))],
		}
		value, err := codec.Encode(&part)
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := log.Append(ctx, stream+suffix, value); err != nil {
			return trace.Wrap(err, "write part %d of a snapshot of %s", i, stream)
		}
	}
	return nil
}

// Read returns the newest whole snapshot, or ErrNone.
func Read(ctx context.Context, log logclient.Log, stream string) (Snapshot, error) {
	from := uint64(0)
	c := collector{open: map[string][]message.Part{}}
	for {
		page, err := log.Read(ctx, stream+suffix, from, 0)
		var cut *logclient.CutError
		if errors.As(err, &cut) && cut.Oldest > from {
			from = cut.Oldest
			continue
		}
		if err != nil {
			return Snapshot{}, trace.Wrap(err, "read the snapshots of %s", stream)
		}
		for _, value := range page.Items {
			c.add(stream, value)
		}
		from = max(from, page.First+uint64(len(page.Items)))
		if from >= page.Head || len(page.Items) == 0 {
			break
		}
	}
	if c.best.Data == nil {
		return Snapshot{}, ErrNoSnapshot
	}
	return c.best, nil
}

// collector puts parts together. Two writers may write at once.
type collector struct {
	open map[string][]message.Part
	best Snapshot
}

func (c *collector) add(stream string, value []byte) {
	var part message.Part
	if codec.Decode(value, &part) != nil || part.Stream != stream || part.Parts < 1 {
		return
	}
	key := string(part.Sum)
	if part.Part == 0 {
		c.open[key] = nil
	}
	if part.Part != len(c.open[key]) {
		return
	}
	c.open[key] = append(c.open[key], part)
	if len(c.open[key]) < part.Parts {
		return
	}
	c.whole(c.open[key])
	delete(c.open, key)
}

func (c *collector) whole(parts []message.Part) {
	var data bytes.Buffer
	for _, p := range parts {
		data.Write(p.Data)
	}
	sum := sha256.Sum256(data.Bytes())
	if !bytes.Equal(sum[:], parts[0].Sum) || parts[0].Next < c.best.Next {
		return
	}
	c.best = Snapshot{Next: parts[0].Next, Data: data.Bytes()}
}

// Due reports whether a snapshot is to be written: after a number of records
// or a time, whichever comes first, if anything is new.
func Due(now, last time.Time, next, lastNext uint64, every time.Duration, records uint64) bool {
	if next == lastNext {
		return false
	}
	return next-lastNext >= records || now.Sub(last) >= every
}
