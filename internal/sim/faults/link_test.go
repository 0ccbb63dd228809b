package faults_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link is the way from one process to another.
type link struct {
	l    net.Listener
	mu   sync.Mutex
	shut bool
	held bool
	wake chan struct{} // closed when held or shut changes
	open []net.Conn
}

func newLink(t testing.TB, to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &link{l: l, wake: make(chan struct{})}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go g.pass(in, to)
		}
	}()
	t.Cleanup(func() { l.Close(); g.set(true) })
	return g
}

func (g *link) pass(in net.Conn, to string) {
	defer in.Close()
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	g.mu.Lock()
	shut := g.shut
	g.open = append(g.open, in, out)
	g.mu.Unlock()
	if shut {
		return
	}
	go func() { g.copy(out, in); out.Close() }()
	g.copy(in, out)
}

// copy passes on what comes, as the link lets it.
func (g *link) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for {
			g.mu.Lock()
			held, wake := g.held && !g.shut, g.wake
			g.mu.Unlock()
			if !held {
				break
			}
			<-wake
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

// hold keeps what passes on its way, or ends that.
func (g *link) hold(held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = held
	g.changed()
}

// changed wakes what waits on the link. The lock is held.
func (g *link) changed() {
	close(g.wake)
	g.wake = make(chan struct{})
}

// set shuts the link, which ends what passes, or opens it.
func (g *link) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changed()
	if g.shut = shut; shut {
		for _, c := range g.open {
			c.Close()
		}
		g.open = nil
	}
}
