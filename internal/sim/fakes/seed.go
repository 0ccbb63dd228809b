package fakes

import (
	"flag"
	"testing"
)

// FixedSeed has random histories (pgregory.net/rapid) be the same in every run, unless a
// seed is given. It is what a TestMain does, and gives its exit code.
func FixedSeed(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261201"); err != nil {
			panic(err) // a number is taken
		}
	}
	return m.Run()
}
