// Package codec turns messages and records into CBOR and back, within limits.
package codec

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"knapweedspur/internal/wire/message"
)

// Limits on what is decoded from outside.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	maxNestedLevels  = 16

	maxSnapshotElements = 1 << 24
)

var (
	encode = mustEncode()
	decode = mustDecode(maxArrayElements, maxMapPairs)
	whole  = mustDecode(maxSnapshotElements, maxSnapshotElements)
)

func mustEncode() cbor.UserBufferEncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	opts.TextMarshaler = cbor.TextMarshalerTextString
	mode, err := opts.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecode(elements, pairs int) cbor.DecMode {
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

// Encode returns v as deterministic CBOR.
func Encode(v any) ([]byte, error) {
	data, err := encode.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err, "encode %T", v)
	}
	return data, nil
}

// EncodeTo appends v as deterministic CBOR to a buffer.
func EncodeTo(buffer *bytes.Buffer, v any) error {
	if err := encode.MarshalToBuffer(v, buffer); err != nil {
		return trace.Wrap(err, "encode %T", v)
	}
	return nil
}

// DecodeSnapshot reads v from data that a checksum vouches for, with wider limits.
func DecodeSnapshot(data []byte, v any) error {
	if err := whole.Unmarshal(data, v); err != nil {
		return trace.BadParameter("decode %T: %v", v, err)
	}
	return nil
}

// maxYear is the last year that a time of RFC 3339 can have.
const maxYear = 9999

// DecodeBatch reads a batch. It refuses a time that Encode could not write
// again, since a snapshot must be able to hold it.
func DecodeBatch(data []byte) (*message.Batch, error) {
	var batch message.Batch
	if err := Decode(data, &batch); err != nil {
		return nil, err
	}
	if year := batch.Time.Year(); year < 0 || year > maxYear {
		return nil, trace.BadParameter("decode a batch: its time is in the year %d", year)
	}
	return &batch, nil
}

// Decode reads v from data, all of it.
func Decode(data []byte, v any) error {
	if err := decode.Unmarshal(data, v); err != nil {
		return trace.BadParameter("decode %T: %v", v, err)
	}
	return nil
}
