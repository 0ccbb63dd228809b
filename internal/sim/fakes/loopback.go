package fakes

import "net"

// FreeLoopbackAddr returns a loopback address (host:port) on which nothing listens.
func FreeLoopbackAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
