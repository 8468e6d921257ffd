package appender_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/client/logclient"
	"knapweedspur/internal/log/appender"
	"knapweedspur/internal/wire/codec"
	"knapweedspur/internal/wire/message"
)

// silentLog takes no value and gives no answer until it is opened.
type silentLog struct {
	logclient.Log
	mu     sync.Mutex
	open   bool
	values [][]byte
}

func (l *silentLog) Append(ctx context.Context, _ string, value []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open {
		return 0, errors.New("no answer")
	}
	l.values = append(l.values, value)
	return uint64(len(l.values)), nil
}

// A record whose caller had been told that nothing is known of it was appended when the
// log answered again, however long after.
func TestAbandonedRecordIsLeftOutOfRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &silentLog{}
		a := &appender.Appender{Log: log, Stream: "s", Writer: "w", Timeout: time.Second, Logger: hclog.NewNullLogger()}
		ctx, stop := context.WithCancel(t.Context())
		go a.Run(ctx)
		abandoned := a.Enqueue(message.Record{Cancel: &message.Cancel{Run: "abandoned"}})
		kept := a.Enqueue(message.Record{Cancel: &message.Cancel{Run: "kept"}})
		time.Sleep(10 * time.Second)
		if state := a.Withdraw(abandoned); state != appender.Sent {
			t.Errorf("the record was sent, its state is %d", state)
		}
		time.Sleep(time.Minute)
		log.mu.Lock()
		log.open = true
		log.mu.Unlock()
		<-kept.Done
		var got []string
		for _, value := range log.values {
			var batch message.Batch
			if err := codec.Decode(value, &batch); err != nil {
				t.Fatal(err)
			}
			for _, r := range batch.Records {
				got = append(got, r.Cancel.Run)
			}
			if batch.Number != 1 {
				t.Errorf("batch number %d, want 1: an earlier attempt must make this one a repeat", batch.Number)
			}
		}
		if diff := cmp.Diff([]string{"kept"}, got); diff != "" {
			t.Errorf("records in the log (-want +got):\n%s", diff)
		}
		stop()
	})
}
