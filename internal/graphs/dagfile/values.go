package dagfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"go.starlark.net/starlark"

	"poppypass/internal/graphs/dag"
)

// fixedValue has the methods of starlark.Value that are the same for all values of this
// package. The values are true. Freeze does nothing, since no other Starlark thread reads them.
type fixedValue struct{}

// Freeze implements starlark.Value.
func (fixedValue) Freeze() {}

// Truth implements starlark.Value.
func (fixedValue) Truth() starlark.Bool { return true }

// number unpacks an argument that is a finite, non-negative int or float into target.
type number struct{ target *float64 }

// Unpack implements starlark.Unpacker.
func (n *number) Unpack(v starlark.Value) error {
	f, ok := starlark.AsFloat(v)
	if !ok || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		return fmt.Errorf("got %s, want a number from 0 on", v.Type())
	}
	*n.target = f
	return nil
}

// timedelta implements timedelta(days, hours, minutes, seconds). It returns a duration in seconds.
func timedelta(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var days, hours, minutes, seconds float64
	if err := starlark.UnpackArgs(b.Name(), args, kwargs,
		"days?", &number{&days}, "hours?", &number{&hours}, "minutes?", &number{&minutes}, "seconds?", &number{&seconds}); err != nil {
		return nil, err
	}
	return starlark.Float(days*86400 + hours*3600 + minutes*60 + seconds), nil
}

// datetime implements datetime(year, month, day, hour, minute). It returns the date as a
// string without a time zone, which DAG(...) reads in its own time zone.
func datetime(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var year, month, day, hour, minute int
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "year", &year, "month", &month, "day", &day, "hour?", &hour, "minute?", &minute); err != nil {
		return nil, err
	}
	return starlark.String(fmt.Sprintf("%04d-%02d-%02dT%02d:%02d:00", year, month, day, hour, minute)), nil
}

// dateOf returns the date in an argument; nil for None. A date without a time zone is read in
// location.
func dateOf(name string, v starlark.Value, location *time.Location) (*time.Time, error) {
	if v == starlark.None {
		return nil, nil
	}
	text, ok := starlark.AsString(v)
	if ok {
		for _, layout := range []string{time.RFC3339, "2006-01-02T15:04:05", time.DateOnly} {
			if t, err := time.ParseInLocation(layout, text, location); err == nil {
				return &t, nil
			}
		}
	}
	return nil, fmt.Errorf("DAG: %s is %v; it must be a date such as 2026-12-01 or datetime(2026, 12, 1)", name, v)
}

// durationOf returns the duration in an argument, which is a number of seconds; 0 for None.
func durationOf(name string, v starlark.Value) (dag.Duration, error) {
	if v == starlark.None {
		return 0, nil
	}
	f, ok := starlark.AsFloat(v)
	if !ok || !(f >= 0) || f > 366*86400 {
		return 0, fmt.Errorf("%s is %v; it must be seconds or timedelta(...)", name, v)
	}
	return dag.Duration(f * float64(time.Second)), nil
}

// errNotNames is the error for a list with elements that are not strings.
var errNotNames = errors.New("not a list of names")

// namesOf returns the strings in a list; nil if the value is not a list.
func namesOf(v starlark.Value) (names []string, err error) {
	list, ok := v.(*starlark.List)
	if !ok {
		return nil, nil
	}
	for e := range list.Elements() {
		name, ok := starlark.AsString(e)
		if !ok {
			return nil, errNotNames
		}
		names = append(names, name)
	}
	return names, nil
}

// maxDepth is the maximum depth to which lists and dicts are nested in a plain value.
const maxDepth = 8

// toJSON returns the JSON of a plain value: None, a bool, string or number, or a list or dict of plain values. depth is
// the number of lists and dicts that contain the value.
func toJSON(v starlark.Value, depth int) (json.RawMessage, error) {
	if depth > maxDepth {
		return nil, errors.New("it is nested too deeply")
	}
	var out any
	var err error
	switch v := v.(type) {
	case starlark.NoneType:
	case starlark.Bool:
		out = bool(v)
	case starlark.String:
		out = string(v)
	case starlark.Int:
		return json.RawMessage(v.String()), nil
	case starlark.Float:
		if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
			return nil, errors.New("a number is not finite")
		}
		out = float64(v)
	case *starlark.List:
		out, err = listToJSON(v, depth+1)
	case *starlark.Dict:
		out, err = dictToJSON(v, depth+1)
	default:
		return nil, fmt.Errorf("a %s is no plain value", v.Type())
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(out)
}

// listToJSON returns the JSON of a list's elements. The result is never nil, so that an empty
// list becomes [] rather than null. depth is the depth of the elements.
func listToJSON(v *starlark.List, depth int) ([]json.RawMessage, error) {
	list := make([]json.RawMessage, 0, v.Len())
	for e := range v.Elements() {
		raw, err := toJSON(e, depth)
		if err != nil {
			return nil, err
		}
		list = append(list, raw)
	}
	return list, nil
}

// dictToJSON returns the JSON of a dict's values by their keys. depth is the depth of the values.
func dictToJSON(v *starlark.Dict, depth int) (map[string]json.RawMessage, error) {
	values := map[string]json.RawMessage{}
	for _, item := range v.Items() {
		key, ok := starlark.AsString(item[0])
		if !ok {
			return nil, errors.New("a key is no string")
		}
		raw, err := toJSON(item[1], depth)
		if err != nil {
			return nil, err
		}
		values[key] = raw
	}
	return values, nil
}
