package internal_test

import (
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	wireTag   = regexp.MustCompile("`json:\"([a-z_]+)")
	wireConst = regexp.MustCompile(`(?m)^\s+(?:Path|End|State|Task|Exit|Op|Kind|Priority|Machine)\w+ +(?:\w+ +)?= "([^"]+)"`)
	codeSpan  = regexp.MustCompile("`([^`]+)`")
)

// TestGlossaryHasEveryWordOfTheWire checks that docs/glossary.md explains each
// field, path and enumerated value of the wire protocol.
func TestGlossaryHasEveryWordOfTheWire(t *testing.T) {
	explained := map[string]bool{}
	for _, m := range codeSpan.FindAllStringSubmatch(read(t, "../docs/glossary.md"), -1) {
		explained[m[1]] = true
	}
	files, err := filepath.Glob("platform/wire/*.go")
	if err != nil {
		t.Fatal(err)
	}
	words := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text := read(t, file)
		for _, m := range append(wireTag.FindAllStringSubmatch(text, -1), wireConst.FindAllStringSubmatch(text, -1)...) {
			words++
			if !explained[m[1]] {
				t.Errorf("%s: %q is not in the glossary", file, m[1])
			}
		}
	}
	if words < 100 {
		t.Errorf("only %d words of the protocol were found", words)
	}
}
