package dag

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxJSONBytes is the length of the longest graph that is read as JSON.
const MaxJSONBytes = 8 << 20

// ParseJSON reads a graph from JSON; name is that of its source, for errors. An unknown
// field is an error: one that is spelt wrongly must not be ignored. Errors are in one line,
// with the line and column where that is known. The graph is not validated (NewPlan).
func ParseJSON(name string, raw []byte) (*Graph, error) {
	if len(raw) > MaxJSONBytes {
		return nil, fmt.Errorf("%s: the graph has %d bytes; up to %d are allowed", name, len(raw), MaxJSONBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var g Graph
	if err := dec.Decode(&g); err != nil {
		line, column := lineAndColumn(raw, errorOffset(err, dec.InputOffset()))
		return nil, fmt.Errorf("%s:%d:%d: %s", name, line, column, strings.Join(strings.Fields(strings.TrimPrefix(err.Error(), "json: ")), " "))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: something follows the graph", name)
	}
	return &g, nil
}

// errorOffset returns where in the input an error of encoding/json lies; read is how far
// the decoder came, for errors that do not say.
func errorOffset(err error, read int64) int64 {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return syntaxErr.Offset
	case errors.As(err, &typeErr):
		return typeErr.Offset
	}
	return read
}

// lineAndColumn returns the place of an offset, both counted from 1.
func lineAndColumn(raw []byte, offset int64) (line, column int) {
	before := raw[:min(int(offset), len(raw))]
	return 1 + bytes.Count(before, []byte{'\n'}), len(before) - bytes.LastIndexByte(before, '\n')
}
