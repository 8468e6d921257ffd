// Package listdecoder decodes JSON arrays element by element, so that their number can be
// bounded before they take a multiple of their text in memory.
package listdecoder

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Decode decodes a JSON array, whose name is used in errors. It fails if there are more
// than limit elements, or if check, unless it is nil, returns an error for one of them.
// If strict is set, unknown members are errors. For null the list is empty.
func Decode[T any](name string, data []byte, limit int, strict bool, check func(index int, element *T) error) ([]T, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	if strict {
		d.DisallowUnknownFields()
	}
	first, err := d.Token()
	if err != nil || first == nil {
		return nil, err
	}
	if first != json.Delim('[') {
		return nil, trace.BadParameter("%s must be a list", name)
	}
	var list []T
	for d.More() {
		if len(list) == limit {
			return nil, trace.BadParameter("%s has more than %d elements", name, limit)
		}
		var element T
		if err := d.Decode(&element); err != nil {
			return nil, err
		}
		if check != nil {
			if err := check(len(list), &element); err != nil {
				return nil, err
			}
		}
		list = append(list, element)
	}
	return list, nil
}
