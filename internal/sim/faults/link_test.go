package faults_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link is a TCP proxy that simulates the network path from one process to another. It can be paused or cut.
type link struct {
	listener     net.Listener
	mu           sync.Mutex
	cut          bool
	paused       bool
	stateChanged chan struct{} // closed and replaced when paused or cut changes
	conns        []net.Conn
}

func newLink(t testing.TB, addr string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, stateChanged: make(chan struct{})}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(in, addr)
		}
	}()
	t.Cleanup(func() { listener.Close(); l.setCut(true) })
	return l
}

func (l *link) forward(in net.Conn, addr string) {
	defer in.Close()
	out, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer out.Close()
	l.mu.Lock()
	cut := l.cut
	l.conns = append(l.conns, in, out)
	l.mu.Unlock()
	if cut {
		return
	}
	go func() { l.relay(out, in); out.Close() }()
	l.relay(in, out)
}

// relay copies data from one connection to the other. While the link is paused, it holds the data back.
func (l *link) relay(to io.Writer, from io.Reader) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for {
			l.mu.Lock()
			paused, stateChanged := l.paused && !l.cut, l.stateChanged
			l.mu.Unlock()
			if !paused {
				break
			}
			<-stateChanged
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// setPaused delays all traffic, or lets it proceed; no data is lost.
func (l *link) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
	l.notify()
}

// notify wakes the relays that wait for a change of the link's state. The caller holds l.mu.
func (l *link) notify() {
	close(l.stateChanged)
	l.stateChanged = make(chan struct{})
}

// setCut cuts the link, which closes its connections, or restores it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify()
	if l.cut = cut; cut {
		for _, c := range l.conns {
			c.Close()
		}
		l.conns = nil
	}
}
