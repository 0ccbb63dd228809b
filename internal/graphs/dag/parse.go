package dag

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxJSONBytes is the length of the longest graph that ParseJSON accepts.
const MaxJSONBytes = 8 << 20

// ParseJSON reads a graph from JSON. Errors begin with name, the name of the source, followed by the line and
// column where these are known, and have no line breaks. An unknown field is an error, so that a misspelt
// field is not ignored. ParseJSON does not validate the graph; NewPlan does.
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

// errorOffset returns the offset in the input at which an error of encoding/json occurred. For errors without
// an offset it returns decoderOffset, how far the decoder has read.
func errorOffset(err error, decoderOffset int64) int64 {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return syntaxErr.Offset
	case errors.As(err, &typeErr):
		return typeErr.Offset
	}
	return decoderOffset
}

// lineAndColumn returns the line and column of an offset, both counted from 1.
func lineAndColumn(raw []byte, offset int64) (line, column int) {
	before := raw[:min(int(offset), len(raw))]
	return 1 + bytes.Count(before, []byte{'\n'}), len(before) - bytes.LastIndexByte(before, '\n')
}
