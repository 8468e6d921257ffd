// Package codec encodes messages and records as CBOR and decodes them within size limits.
package codec

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/message"
)

// Limits for decoding untrusted data. Snapshots have wider limits: they come from
// another entry, or their checksum has been verified.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	maxNestedLevels  = 16

	// maxShortElements is for messages of senders that are not known yet: an element of one
	// byte may take 170 in memory.
	maxShortElements = 1 << 10

	maxSnapshotElements = 1 << 24
)

var (
	encMode         = newEncMode()
	decMode         = newDecMode(maxArrayElements, maxMapPairs)
	shortDecMode    = newDecMode(maxShortElements, maxMapPairs)
	snapshotDecMode = newDecMode(maxSnapshotElements, maxSnapshotElements)
)

func newEncMode() cbor.UserBufferEncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	opts.TextMarshaler = cbor.TextMarshalerTextString
	mode, err := opts.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode(elements, pairs int) cbor.DecMode {
	opts := cbor.DecOptions{
		MaxArrayElements: elements,
		MaxMapPairs:      pairs,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}
	mode, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the deterministic CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err, "encode %T", v)
	}
	return data, nil
}

// EncodeTo appends the deterministic CBOR encoding of v to a buffer.
func EncodeTo(buffer *bytes.Buffer, v any) error {
	if err := encMode.MarshalToBuffer(v, buffer); err != nil {
		return trace.Wrap(err, "encode %T", v)
	}
	return nil
}

// DecodeShort decodes data of a sender that is not known yet into v. Lists must be short.
func DecodeShort(data []byte, v any) error {
	if err := shortDecMode.Unmarshal(data, v); err != nil {
		return trace.BadParameter("decode %T: %v", v, err)
	}
	return nil
}

// DecodeSnapshot decodes data into v with the wider limits of snapshots. It is
// for data from another entry, or with a verified checksum.
func DecodeSnapshot(data []byte, v any) error {
	if err := snapshotDecMode.Unmarshal(data, v); err != nil {
		return trace.BadParameter("decode %T: %v", v, err)
	}
	return nil
}

// maxYear is the last year that RFC 3339 can represent.
const maxYear = 9999

// DecodeBatch decodes a batch. It rejects a time that Encode cannot encode
// again, since a snapshot must be able to hold it.
func DecodeBatch(data []byte) (*message.Batch, error) {
	var batch message.Batch
	if err := Decode(data, &batch); err != nil {
		return nil, err
	}
	if year := batch.Time.Year(); year < 0 || year > maxYear {
		return nil, trace.BadParameter("decode batch: time is in the year %d, outside of 0 to 9999", year)
	}
	return &batch, nil
}

// Decode decodes data into v. Trailing bytes are an error.
func Decode(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return trace.BadParameter("decode %T: %v", v, err)
	}
	return nil
}
