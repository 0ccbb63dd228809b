// Package golden compares the encodings of values with golden files, which contain the encodings of earlier versions. It is for
// tests only.
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

// Check compares got with the file testdata/formats/NAME.golden of the package under test. With UPDATE_GOLDEN=1 in the
// environment it first writes got to the file.
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

// Hex compares bytes with a golden file that contains them in hexadecimal.
func Hex(t *testing.T, name string, got []byte) {
	t.Helper()
	Check(t, name, []byte(hex.EncodeToString(got)))
}

// JSONEncoding compares the JSON of a value with a golden file and returns the JSON. It is for values that the code only
// encodes; JSONRoundTrip also checks that they can be decoded.
func JSONEncoding(t *testing.T, name string, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Check(t, name, raw)
	return raw
}

// JSONRoundTrip compares the JSON of the value that a pointer refers to with a golden file. It also checks that the JSON is
// decoded to the same value.
func JSONRoundTrip(t *testing.T, name string, value any) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := json.Unmarshal(JSONEncoding(t, name, value), decoded); err != nil {
		t.Fatalf("%s cannot be decoded: %v", name, err)
	}
	Equal(t, name, decoded, value)
}

// CBORRoundTrip is like JSONRoundTrip, for a value that is stored as CBOR. Its golden file is in hexadecimal. CBOR arrays
// contain no field names, so the test notices two swapped fields only if the value is a literal with the names of its fields.
// A result of Fill does not suffice, because Fill sets fields by their order.
func CBORRoundTrip(t *testing.T, name string, value any) {
	t.Helper()
	AllFieldsSet(t, name, value)
	raw, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Hex(t, name, raw)
	decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := cbor.Unmarshal(raw, decoded); err != nil {
		t.Fatalf("%s cannot be decoded: %v", name, err)
	}
	Equal(t, name, decoded, value)
}

// Equal checks that a decoded value equals the encoded one.
func Equal(t *testing.T, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s is decoded as\n%+v\ninstead of\n%+v", name, got, want)
	}
}

// AllFieldsSet checks that no exported field of a value is zero, at any depth.
func AllFieldsSet(t *testing.T, name string, value any) {
	t.Helper()
	checkAllFieldsSet(t, name, reflect.ValueOf(value))
}

func checkAllFieldsSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is not set", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		checkAllFieldsSet(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && v.Type() != timeType {
				checkAllFieldsSet(t, path+"."+f.Name, v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			checkAllFieldsSet(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

// Fill sets each exported field of a value, at any depth, to a nonzero value, and returns the pointer. The values depend on the
// order of the fields but not on their names, so a type whose fields are renamed gets the same content.
func Fill[T any](value *T) *T {
	fieldNumber := 0
	fill(reflect.ValueOf(value).Elem(), &fieldNumber)
	return value
}

var (
	rawType  = reflect.TypeFor[json.RawMessage]()
	timeType = reflect.TypeFor[time.Time]()
)

func fill(v reflect.Value, fieldNumber *int) {
	*fieldNumber++
	switch v.Type() {
	case rawType:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *fieldNumber))
		return
	case timeType:
		v.Set(reflect.ValueOf(time.Date(2026, time.December, 1, 12, 0, *fieldNumber%60, 0, time.UTC)))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		fillFields(v, fieldNumber)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), fieldNumber)
	case reflect.Slice:
		fillSlice(v, fieldNumber)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), fieldNumber)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, fieldNumber)
		fill(value, fieldNumber)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any-%d", *fieldNumber)))
	default:
		fillScalar(v, *fieldNumber)
	}
}

func fillFields(v reflect.Value, fieldNumber *int) {
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() || f.Anonymous {
			fill(v.Field(i), fieldNumber)
		}
	}
}

func fillSlice(v reflect.Value, fieldNumber *int) {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		v.SetBytes(fmt.Appendf(nil, "bytes-%d", *fieldNumber))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	for i := range v.Len() {
		fill(v.Index(i), fieldNumber)
	}
}

func fillScalar(v reflect.Value, fieldNumber int) {
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("text-%d", fieldNumber))
	case v.Kind() == reflect.Uint8: // an enumeration of a few values
		v.SetUint(uint64(1 + fieldNumber%2))
	case v.CanInt():
		v.SetInt(int64(fieldNumber))
	case v.CanUint():
		v.SetUint(uint64(fieldNumber))
	case v.CanFloat():
		v.SetFloat(float64(fieldNumber) + 0.5)
	default:
		panic(fmt.Sprintf("golden.Fill does not support fields of type %s", v.Type()))
	}
}
