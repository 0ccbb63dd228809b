// Package testutil contains small helpers for tests: temporary files, free addresses and fixed random seeds.
package testutil

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"poppypass/internal/sim/fakes"
)

// defaultSeed is the seed of random tests unless the flag rapid.seed is given.
const defaultSeed = "20261201"

// FreeAddr returns a loopback address (host:port) on which nothing listens.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := fakes.FreeLoopbackAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// TempFile writes text to a temporary file and returns its path. The file is removed when the test ends.
func TempFile(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// FixedSeed runs the tests of a package so that random tests (pgregory.net/rapid) draw the same values each time, unless
// the flag rapid.seed is given. It returns the exit code, which the package's TestMain passes to os.Exit.
func FixedSeed(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set(defaultSeed); err != nil {
			panic(err) // cannot happen: the flag accepts any number
		}
	}
	return m.Run()
}
