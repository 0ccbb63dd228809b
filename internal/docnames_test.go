package internal_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	namedTest    = regexp.MustCompile("`((?:Test|Benchmark)[A-Z]\\w*)`")
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)[A-Z]\w*)\(`)
)

// TestNamedTestsExist checks that each test exists which a page of the documents
// names, for example as the regression test of an incident.
func TestNamedTestsExist(t *testing.T) {
	declared := map[string]bool{}
	for _, root := range []string{".", "../cmd"} {
		eachFile(t, root, "_test.go", func(file string) {
			for _, m := range declaredTest.FindAllStringSubmatch(read(t, file), -1) {
				declared[m[1]] = true
			}
		})
	}
	named := 0
	eachFile(t, "../docs", ".md", func(page string) {
		for _, m := range namedTest.FindAllStringSubmatch(read(t, page), -1) {
			named++
			if !declared[m[1]] {
				t.Errorf("%s names the test %s, which does not exist", page, m[1])
			}
		}
	})
	if named < 50 {
		t.Errorf("the documents name only %d tests", named)
	}
}

// eachFile calls visit for each file below root whose name has the suffix.
func eachFile(t *testing.T, root, suffix string, visit func(file string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(file string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(file, suffix) {
			visit(file)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

var namedPath = regexp.MustCompile("`((?:internal|cmd)/[\\w./-]+)`")

// TestNamedFilesExist checks that the files and folders which a page names exist.
// It skips measurements.md, which uses the names that files had at the time of
// each measurement, and ROADMAP.md, which also names planned packages.
func TestNamedFilesExist(t *testing.T) {
	named := 0
	eachFile(t, "../docs", ".md", func(page string) {
		if strings.HasSuffix(page, "measurements.md") || strings.HasSuffix(page, "ROADMAP.md") {
			return
		}
		for _, m := range namedPath.FindAllStringSubmatch(read(t, page), -1) {
			named++
			if _, err := os.Stat(filepath.Join("..", m[1])); err != nil {
				t.Errorf("%s names the file %s, which does not exist", page, m[1])
			}
		}
	})
	if named < 10 {
		t.Errorf("the documents name only %d files", named)
	}
}

var storedKey = regexp.MustCompile(`(?m)^\s*(?:const )?(?:[kK]ey|[pP]refix)\w* += "([a-z]+/[a-z/]*)"`)

// TestStoredKeysHaveAnOwner checks that docs/architecture.md names the owner of each key in the state service, and that
// docs/design/records.md says how long its value can become.
func TestStoredKeysHaveAnOwner(t *testing.T) {
	page, sizes := read(t, "../docs/architecture.md"), read(t, "../docs/design/records.md")
	keys := 0
	eachSource(t, func(_, file string) {
		for _, m := range storedKey.FindAllStringSubmatch(read(t, file), -1) {
			keys++
			if !strings.Contains(page, "`"+m[1]) {
				t.Errorf("%s: docs/architecture.md does not name the owner of the key %s", file, m[1])
			}
			if !strings.Contains(sizes, "`"+m[1]) {
				t.Errorf("%s: docs/design/records.md does not say how long the value of the key %s can become", file, m[1])
			}
		}
	})
	if keys < 14 {
		t.Errorf("only %d keys were found", keys)
	}
}
