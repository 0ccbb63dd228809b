package dagview

import (
	"bytes"
	"io"
	"testing"

	"poppypass/internal/platform/golden"
)

// The DOT output for Graphviz and the text table of a run have the golden contents.
func TestFormatsOfARun(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(io.Writer, *Run) error
	}{
		{"dot", RunDot},
		{"text", func(w io.Writer, r *Run) error { return RunText(w, r, true) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := c.write(&out, nightlyRun(t)); err != nil {
				t.Fatal(err)
			}
			golden.Check(t, c.name, out.Bytes())
		})
	}
}
