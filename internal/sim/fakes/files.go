package fakes

import (
	"net"
	"os"
	"path/filepath"
	"testing"
)

// FreeAddr gives a loopback address that nothing listens on.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := Loopback()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// Loopback gives a loopback address that nothing listens on.
func Loopback() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// File writes a file that lives as long as the test, and gives its path.
func File(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
