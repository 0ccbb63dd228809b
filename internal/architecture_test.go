// Package internal_test checks rules of the whole source tree: which package
// may import which, and that the documents agree with the code and their links
// are valid.
package internal_test

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "poppypass/"

// layers are the groups of packages from the lowest layer to the highest, as in
// docs/architecture.md. A package may import packages of its own group and of
// lower layers. Groups of the same layer (one line) may not import each other.
var layers = [][]string{
	{"internal/platform"},
	{"internal/clients"},
	{"internal/cluster"},
	{"internal/scheduler"},
	{"internal/accounting", "internal/graphs"},
	{"internal/api"},
	{"internal/controller"},
	{"cmd"},
}

// leaves are packages that lower layers use, too, although their directory is in
// a higher layer. All packages may import them. They may import only the listed
// packages and each other.
var leaves = map[string][]string{
	"internal/accounting/charge": {},
	"internal/accounting/budget": {"internal/platform/tuning", "internal/platform/wire"},
}

// pure are packages that hold state and make decisions without I/O: they call
// neither the state service nor the cloud nor another controller.
var pure = []string{
	"internal/scheduler/autoscale",
	"internal/scheduler/jobs",
	"internal/scheduler/machines",
	"internal/scheduler/placement",
	"internal/scheduler/reachability",
	"internal/graphs/dag",
	"internal/graphs/dagfile",
	"internal/graphs/dagview",
}

const simulations = "internal/sim"

// within reports whether a package is the group itself or below its directory.
func within(pkg, group string) bool {
	return pkg == group || strings.HasPrefix(pkg, group+"/")
}

func layerOf(pkg string) (layer int, group string, ok bool) {
	for i, groups := range layers {
		for _, g := range groups {
			if within(pkg, g) {
				return i, g, true
			}
		}
	}
	return 0, "", false
}

// checkImport returns an error with the reason if a package may not import another one.
func checkImport(importer, imported string) error {
	if within(importer, simulations) {
		return nil // simulations run whole controllers
	}
	if within(imported, simulations) {
		return fmt.Errorf("%s imports %s: only simulations and tests use simulations", importer, imported)
	}
	if allowed, ok := leaves[importer]; ok {
		if _, leaf := leaves[imported]; leaf || slices.Contains(allowed, imported) {
			return nil
		}
		return fmt.Errorf("%s imports %s: lower layers use the importing package, so it may import only %v", importer, imported, allowed)
	}
	if _, ok := leaves[imported]; ok {
		return nil
	}
	from, fromGroup, ok := layerOf(importer)
	if !ok {
		return fmt.Errorf("%s belongs to no layer", importer)
	}
	to, toGroup, ok := layerOf(imported)
	switch {
	case !ok:
		return fmt.Errorf("%s imports %s, which belongs to no layer", importer, imported)
	case to > from:
		return fmt.Errorf("%s imports %s, which is a higher layer", importer, imported)
	case to == from && fromGroup != toGroup:
		return fmt.Errorf("%s imports %s: the groups are in the same layer", importer, imported)
	}
	for _, p := range pure {
		if importer == p && (within(imported, "internal/clients") || within(imported, "internal/cluster")) {
			return fmt.Errorf("%s imports %s: the importing package may not call the state service, the cloud or other controllers", importer, imported)
		}
	}
	return nil
}

// TestImportsFollowTheLayers checks the imports of all packages against the
// rules above. Test files may import anything.
func TestImportsFollowTheLayers(t *testing.T) {
	seen := map[string]bool{}
	eachSource(t, func(pkg, file string) {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		seen[pkg] = true
		for _, spec := range parsed.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			imported, local := strings.CutPrefix(imported, module)
			if !local {
				continue
			}
			if err := checkImport(pkg, imported); err != nil {
				t.Errorf("%s: %v", file, err)
			}
		}
	})
	if len(seen) < 30 {
		t.Errorf("only %d packages were read", len(seen))
	}
	for leaf := range leaves {
		if !seen[leaf] {
			t.Errorf("there is no package %s", leaf)
		}
	}
	for _, p := range pure {
		if !seen[p] {
			t.Errorf("there is no package %s", p)
		}
	}
}

// eachSource calls visit for each Go file of the program that is not a test, with
// the path of its package within the module.
func eachSource(t *testing.T, visit func(pkg, file string)) {
	t.Helper()
	for _, root := range []string{".", "../cmd"} {
		err := filepath.WalkDir(root, func(file string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() && d.Name() == "testdata" {
				return fs.SkipDir
			}
			if strings.HasSuffix(file, ".go") && !strings.HasSuffix(file, "_test.go") {
				visit(path.Join("internal", filepath.ToSlash(filepath.Dir(file))), file)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestImportRules(t *testing.T) {
	for _, tt := range []struct {
		name, importer, imported string
		allowed                  bool
	}{
		{"all may import the lowest layer", "cmd/poppypass", "internal/platform/wire", true},
		{"a lower layer", "internal/scheduler/leader", "internal/cluster/election", true},
		{"within a group", "internal/scheduler/leader", "internal/scheduler/jobs", true},
		{"a higher layer", "internal/cluster/election", "internal/scheduler/jobs", false},
		{"a higher layer from the lowest layer", "internal/platform/config", "internal/clients/cloud", false},
		{"another group of the same layer", "internal/graphs/runner", "internal/accounting/ledger", false},
		{"commands are the highest layer", "internal/controller", "cmd/poppypass", false},
		{"a leaf from a lower layer", "internal/platform/config", "internal/accounting/budget", true},
		{"a leaf from another group of its layer", "internal/graphs/runner", "internal/accounting/charge", true},
		{"a leaf imports a leaf", "internal/accounting/budget", "internal/accounting/charge", true},
		{"a leaf imports a listed package", "internal/accounting/budget", "internal/platform/wire", true},
		{"a leaf does not import an unlisted package", "internal/accounting/budget", "internal/platform/config", false},
		{"a leaf does not import its group", "internal/accounting/charge", "internal/accounting/ledger", false},
		{"placement decisions do not import the state service's client", "internal/scheduler/placement", "internal/clients/statestore", false},
		{"the job store does not import the election", "internal/scheduler/jobs", "internal/cluster/election", false},
		{"the program does not import simulations", "internal/controller", "internal/sim/fakes", false},
		{"simulations import everything", "internal/sim/testcluster", "internal/controller", true},
		{"a package without a layer", "internal/util", "internal/platform/wire", false},
		{"an import without a layer", "internal/controller", "internal/util", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if err := checkImport(tt.importer, tt.imported); (err == nil) != tt.allowed {
				t.Errorf("%s imports %s: %v", tt.importer, tt.imported, err)
			}
		})
	}
}
