// Package testutil holds small helpers of tests: files, addresses and seeds.
package testutil

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"poppypass/internal/sim/fakes"
)

// defaultSeed is the seed of random histories unless one is given.
const defaultSeed = "20261201"

// FreeAddr returns a loopback address on which nothing listens.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := fakes.Loopback()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// File writes a file that is removed when the test ends, and returns its path.
func File(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// FixedSeed runs the tests of a package with the same random histories (pgregory.net/rapid) each time, unless the
// flag rapid.seed is given. A TestMain passes the exit code that it returns to os.Exit.
func FixedSeed(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(defaultSeed); err != nil {
			panic(err) // the flag takes any number
		}
	}
	return m.Run()
}
