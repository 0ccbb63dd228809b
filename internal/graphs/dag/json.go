package dag

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxJSONBytes is the longest graph that is read as JSON, in bytes.
const MaxJSONBytes = 8 << 20

// ParseJSON reads a graph from JSON. A field that no graph has is an error: a rule that
// is spelt wrongly must not be passed over. The error is in one line, with the line and
// column where that is known.
func ParseJSON(name string, raw []byte) (*Graph, error) {
	if len(raw) > MaxJSONBytes {
		return nil, fmt.Errorf("%s: the graph has %d bytes; up to %d are allowed", name, len(raw), MaxJSONBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var g Graph
	err := dec.Decode(&g)
	if err == nil {
		if _, err = dec.Token(); !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("%s: something follows the graph", name)
		}
		return &g, nil
	}
	at := dec.InputOffset()
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		at = syntaxErr.Offset
	case errors.As(err, &typeErr):
		at = typeErr.Offset
	}
	before := raw[:min(int(at), len(raw))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return nil, fmt.Errorf("%s:%d:%d: %s", name, line, column, strings.Join(strings.Fields(strings.TrimPrefix(err.Error(), "json: ")), " "))
}
