// Package golden compares what the code encodes with files that hold what it encoded
// before. It is for tests only.
package golden

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Check compares got with the file testdata/formats/NAME.golden of the package under
// test. With UPDATE_GOLDEN=1 in the environment it writes the file instead.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "formats", name+".golden")
	got = append(bytes.Clone(got), '\n')
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		write(t, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s has changed\n got: %s\nwant: %s", path, got, want)
	}
}

func write(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Lines compares lines of text, such as keys or names, with a golden file.
func Lines(t *testing.T, name string, lines ...string) {
	t.Helper()
	Check(t, name, []byte(strings.Join(lines, "\n")))
}

// Hex compares bytes with a golden file that holds them in hexadecimal.
func Hex(t *testing.T, name string, got []byte) {
	t.Helper()
	Check(t, name, []byte(hex.EncodeToString(got)))
}

// Written compares the JSON of a value with a golden file. It is for values that are
// only written; JSON also reads them back.
func Written(t *testing.T, name string, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Check(t, name, raw)
	return raw
}

// JSON compares the JSON of the value that a pointer refers to with a golden file, and
// checks that it is read back as the same value.
func JSON(t *testing.T, name string, value any) {
	t.Helper()
	again := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := json.Unmarshal(Written(t, name, value), again); err != nil {
		t.Fatalf("%s cannot be read back: %v", name, err)
	}
	Equal(t, name, again, value)
}

// CBOR is like JSON for a value that is stored as CBOR; its file is in hexadecimal.
// CBOR arrays hold no names, so the value must be written with the names of its fields,
// and not be filled in their order: fields that change places then fail the test.
func CBOR(t *testing.T, name string, value any) {
	t.Helper()
	Complete(t, name, value)
	raw, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Hex(t, name, raw)
	again := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := cbor.Unmarshal(raw, again); err != nil {
		t.Fatalf("%s cannot be read back: %v", name, err)
	}
	Equal(t, name, again, value)
}

// Equal checks that a value was read back as what was written.
func Equal(t *testing.T, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s is read back as\n%+v\ninstead of\n%+v", name, got, want)
	}
}

// Complete checks that a value leaves no exported field at zero, at any depth.
func Complete(t *testing.T, name string, value any) {
	t.Helper()
	complete(t, name, reflect.ValueOf(value))
}

func complete(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not set", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		complete(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && v.Type() != timeType {
				complete(t, path+"."+f.Name, v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			complete(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

// Fill sets each exported field of a value, at any depth, to a value that is not zero,
// and gives the pointer back. Fields are numbered in their order, and their names play
// no part, so that the same type always gets the same content.
func Fill[T any](value *T) *T {
	n := 0
	fill(reflect.ValueOf(value).Elem(), &n)
	return value
}

var (
	rawType  = reflect.TypeFor[json.RawMessage]()
	timeType = reflect.TypeFor[time.Time]()
)

func fill(v reflect.Value, n *int) {
	*n++
	switch v.Type() {
	case rawType:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *n))
		return
	case timeType:
		v.Set(reflect.ValueOf(time.Date(2026, time.December, 1, 12, 0, *n%60, 0, time.UTC)))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		fillFields(v, n)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		fillSlice(v, n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any-%d", *n)))
	default:
		fillScalar(v, *n)
	}
}

func fillFields(v reflect.Value, n *int) {
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() || f.Anonymous {
			fill(v.Field(i), n)
		}
	}
}

func fillSlice(v reflect.Value, n *int) {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		v.SetBytes(fmt.Appendf(nil, "bytes-%d", *n))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	for i := range v.Len() {
		fill(v.Index(i), n)
	}
}

func fillScalar(v reflect.Value, n int) {
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("text-%d", n))
	case v.Kind() == reflect.Uint8: // an enumeration of a few values
		v.SetUint(uint64(1 + n%2))
	case v.CanInt():
		v.SetInt(int64(n))
	case v.CanUint():
		v.SetUint(uint64(n))
	case v.CanFloat():
		v.SetFloat(float64(n) + 0.5)
	default:
		panic(fmt.Sprintf("no content is known for a field of type %s", v.Type()))
	}
}
