// Package encoder turns messages and records into CBOR and back, within limits.
package encoder

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
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

// Decode reads v from data, all of it.
func Decode(data []byte, v any) error {
	if err := decode.Unmarshal(data, v); err != nil {
		return trace.BadParameter("decode %T: %v", v, err)
	}
	return nil
}
