package codec

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/message"
)

func TestRoundTrip(t *testing.T) {
	want := message.Frame{
		Request: &message.Request{ID: 7, Method: "POST", Path: "/score", Header: []message.Header{{Name: "A", Value: "b"}}, Body: []byte("body"), NonIdempotent: true},
	}
	data, err := Encode(&want)
	if err != nil {
		t.Fatal(err)
	}
	var got message.Frame
	if err := Decode(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("frame (-want +got):\n%s", diff)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for _, frame := range []message.Frame{
		{}, {Heartbeat: &message.Heartbeat{Lease: 1}}, {Answer: &message.Answer{ID: 1, Data: []byte("x"), Last: true}},
		{Report: &message.Report{Closes: []message.Close{{Run: "r", Outcome: "done"}}}},
	} {
		data, err := Encode(&frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0x9f, 0xff})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame message.Frame
		if Decode(data, &frame) != nil {
			return
		}
		encoded, err := Encode(&frame)
		if err != nil {
			t.Fatal(err)
		}
		var redecoded message.Frame
		if err := Decode(encoded, &redecoded); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(frame, redecoded); diff != "" {
			t.Errorf("frame differs after encoding and decoding again (-first +second):\n%s", diff)
		}
	})
}

func FuzzDecodeBatch(f *testing.F) {
	data, err := Encode(&message.Batch{Writer: "w", Number: 1, Records: []message.Record{{Cancel: &message.Cancel{Run: "r"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := DecodeBatch(data)
		if err != nil {
			return
		}
		if _, err := Encode(batch); err != nil {
			t.Fatal(err)
		}
	})
}
