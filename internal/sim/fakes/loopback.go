package fakes

import "net"

// Loopback returns a loopback address on which nothing listens.
func Loopback() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
