// Package snapshotter writes and reads snapshots of a stream's state. They are
// stored in a stream of their own, so that the log may delete the records that
// they cover.
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
	// MaxPartSize is the largest number of data bytes in one part.
	MaxPartSize = 256 << 10
	// streamSuffix is appended to the name of a stream to name the stream of its
	// snapshots.
	streamSuffix = ".snapshots"
)

// ErrNoSnapshot means that there is no complete snapshot.
var ErrNoSnapshot = errors.New("there is no whole snapshot")

// Snapshot is an encoded state and the offset of the next batch to apply to it.
type Snapshot struct {
	Next uint64
	Data []byte
}

// Write appends a snapshot in parts. Read ignores a snapshot of which some parts
// are missing.
func Write(ctx context.Context, log logclient.Log, stream string, s Snapshot) error {
	sum := sha256.Sum256(s.Data)
	parts := max(1, (len(s.Data)+MaxPartSize-1)/MaxPartSize)
	for i := 0; i < parts; i++ {
		part := message.SnapshotPart{
			Stream: stream, Next: s.Next, Index: i, Parts: parts, Checksum: sum[:],
			Data: s.Data[i*MaxPartSize : min((i+1)*MaxPartSize, len(s.Data))],
		}
		value, err := codec.Encode(&part)
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := log.Append(ctx, stream+streamSuffix, value); err != nil {
			return trace.Wrap(err, "write part %d of a snapshot of %s", i, stream)
		}
	}
	return nil
}

// Read returns the newest complete snapshot, or ErrNoSnapshot.
func Read(ctx context.Context, log logclient.Log, stream string) (Snapshot, error) {
	from := uint64(0)
	c := partCollector{incomplete: map[string][]message.SnapshotPart{}}
	for {
		page, err := log.Read(ctx, stream+streamSuffix, from, 0)
		var cut *logclient.TruncatedError
		if errors.As(err, &cut) && cut.OldestOffset > from {
			from = cut.OldestOffset
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
	if c.newest.Data == nil {
		return Snapshot{}, ErrNoSnapshot
	}
	return c.newest, nil
}

// partCollector assembles snapshots from their parts. The parts of several
// snapshots may be interleaved, since two writers may write at once.
type partCollector struct {
	incomplete map[string][]message.SnapshotPart
	newest     Snapshot
}

func (c *partCollector) add(stream string, value []byte) {
	var part message.SnapshotPart
	if codec.Decode(value, &part) != nil || part.Stream != stream || part.Parts < 1 {
		return
	}
	key := string(part.Checksum)
	if part.Index == 0 {
		c.incomplete[key] = nil
	}
	if part.Index != len(c.incomplete[key]) {
		return
	}
	c.incomplete[key] = append(c.incomplete[key], part)
	if len(c.incomplete[key]) < part.Parts {
		return
	}
	c.complete(c.incomplete[key])
	delete(c.incomplete, key)
}

func (c *partCollector) complete(parts []message.SnapshotPart) {
	var data bytes.Buffer
	for _, p := range parts {
		data.Write(p.Data)
	}
	sum := sha256.Sum256(data.Bytes())
	if !bytes.Equal(sum[:], parts[0].Checksum) || parts[0].Next < c.newest.Next {
		return
	}
	c.newest = Snapshot{Next: parts[0].Next, Data: data.Bytes()}
}

// Due reports whether a snapshot should be written: once the last one is
// maxRecords offsets behind or interval old, whichever comes first, provided that
// the state has advanced since.
func Due(now, lastTime time.Time, next, lastNext uint64, interval time.Duration, maxRecords uint64) bool {
	if next == lastNext {
		return false
	}
	return next-lastNext >= maxRecords || now.Sub(lastTime) >= interval
}
