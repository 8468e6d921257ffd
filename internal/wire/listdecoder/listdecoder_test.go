package listdecoder

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

type item struct {
	A int `json:"a"`
}

func TestDecode(t *testing.T) {
	errOdd := errors.New("odd")
	check := func(_ int, i *item) error {
		if i.A%2 == 1 {
			return errOdd
		}
		return nil
	}
	cases := []struct {
		text   string
		strict bool
		want   []item
		valid  bool
	}{
		{`[]`, false, nil, true},
		{`null`, false, nil, true},
		{`[{"a":2},{"a":4}]`, false, []item{{2}, {4}}, true},
		{`[{"a":2},{"a":4},{"a":6}]`, false, nil, false},
		{`[{"a":1}]`, false, nil, false},
		{`[{"a":2,"b":1}]`, false, []item{{2}}, true},
		{`[{"a":2,"b":1}]`, true, nil, false},
		{`{"a":2}`, false, nil, false},
		{`"a"`, false, nil, false},
		{`[{"a":"x"}]`, false, nil, false},
	}
	for _, c := range cases {
		got, err := Decode("items", []byte(c.text), 2, c.strict, check)
		if diff := cmp.Diff(c.want, got); diff != "" || (err == nil) != c.valid {
			t.Errorf("%s, strict %t: error %v, %s", c.text, c.strict, err, diff)
		}
	}
}
