package peerrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"poppypass/internal/platform/tuning"
)

// ErrSilent is the error of a call to a peer that did not answer in time, either in this call or in an
// earlier one.
var ErrSilent = errors.New("peer did not answer in time")

// Client sends requests to peers, over one connection to each. It is safe for concurrent use.
type Client struct {
	timeout time.Duration

	mu     sync.Mutex
	conns  map[string]*clientConn
	silent map[string]bool // addresses of the peers that Silent reports as silent
}

// NewClient returns a client whose calls time out after tuning.RelayTimeout.
func NewClient() *Client {
	return &Client{timeout: tuning.RelayTimeout, conns: map[string]*clientConn{}, silent: map[string]bool{}}
}

// Call sends a request to the peer at addr and waits for its answer. If a call times out although its verb
// is one that peers answer from memory, the peer hangs or is cut off by a partition. Call then marks it as silent.
// Until a silent peer answers a ping again, calls to it with other verbs fail at once with ErrSilent. Otherwise every
// poll and every heartbeat would wait for the timeout.
func (c *Client) Call(ctx context.Context, addr string, request Request) (Response, error) {
	if request.Verb != Ping && c.Silent(addr) {
		return Response{}, ErrSilent
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.call(callCtx, addr, request)
	switch {
	case err == nil:
		c.setSilent(addr, false)
	case callCtx.Err() != nil && ctx.Err() == nil && request.Verb.answeredFromMemory():
		c.setSilent(addr, true)
		err = fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return resp, err
}

// Silent reports whether a call to the peer at addr timed out although the peer answers its verb from memory, and
// the peer has not answered since.
func (c *Client) Silent(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[addr]
}

func (c *Client) setSilent(addr string, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[addr] = silent
}

// call sends a request on the connection to a peer and waits for its answer until ctx ends.
func (c *Client) call(ctx context.Context, addr string, request Request) (Response, error) {
	cc := c.connection(addr)
	select {
	case <-cc.ready:
	case <-ctx.Done():
		return Response{}, ctx.Err()
	}
	if cc.err != nil {
		return Response{}, cc.err
	}
	answer := make(chan Response, 1)
	seq, err := cc.send(request, answer)
	if err != nil {
		c.drop(addr, cc)
		return Response{}, err
	}
	select {
	case resp, ok := <-answer:
		if !ok {
			return Response{}, io.ErrUnexpectedEOF
		}
		return resp, nil
	case <-ctx.Done():
		cc.stopWaiting(seq)
		// A connection that does not answer in time may hang for ever, so the
		// next request opens a new one.
		c.drop(addr, cc)
		return Response{}, ctx.Err()
	}
}

// connection returns the connection to a peer, and dials a new one if there is none. The caller waits for ready.
func (c *Client) connection(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc := c.conns[addr]; cc != nil {
		return cc
	}
	cc := &clientConn{ready: make(chan struct{}), pending: map[uint64]chan Response{}}
	c.conns[addr] = cc
	go func() {
		cc.conn, cc.err = net.DialTimeout("tcp", addr, tuning.RelayTimeout)
		close(cc.ready)
		if cc.err == nil {
			cc.receive()
		}
		c.drop(addr, cc)
	}()
	return cc
}

// drop closes a connection; the next request opens a new one.
func (c *Client) drop(addr string, cc *clientConn) {
	c.mu.Lock()
	if c.conns[addr] == cc {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	if cc.conn != nil {
		cc.conn.Close()
	}
}

// clientConn is a connection to a peer, on which several calls may wait for their answers at the same time.
type clientConn struct {
	ready chan struct{} // closed when dialling has succeeded or failed; conn and err are set from then on
	conn  net.Conn
	err   error

	mu      sync.Mutex
	seq     uint64                   // sequence number of the last request
	pending map[uint64]chan Response // calls that wait for an answer, by sequence number
	failed  bool                     // the connection has failed; no more answers are received
}

// send sends a request and returns its sequence number. The response with this number is delivered to answer.
func (cc *clientConn) send(request Request, answer chan Response) (uint64, error) {
	cc.mu.Lock()
	if cc.failed {
		cc.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	cc.seq++
	seq := cc.seq
	cc.pending[seq] = answer
	cc.mu.Unlock()
	// A net.Conn does not interleave concurrent Write calls, and the deadline bounds how long this one blocks.
	_ = cc.conn.SetWriteDeadline(time.Now().Add(tuning.RelayTimeout))
	_, err := cc.conn.Write(encodeRequest(seq, request))
	return seq, err
}

// stopWaiting ends the wait for an answer; an answer that arrives later is discarded.
func (cc *clientConn) stopWaiting(seq uint64) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	delete(cc.pending, seq)
}

// receive delivers answers to the calls that wait for them, until the connection fails.
func (cc *clientConn) receive() {
	in := bufio.NewReader(cc.conn)
	for {
		seq, response, err := readResponse(in)
		if err != nil {
			cc.fail()
			return
		}
		cc.deliver(seq, response)
	}
}

func readResponse(in io.Reader) (seq uint64, response Response, err error) {
	frame, err := readFrame(in)
	if err != nil {
		return 0, Response{}, err
	}
	return decodeResponse(frame)
}

func (cc *clientConn) deliver(seq uint64, response Response) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if answer := cc.pending[seq]; answer != nil {
		delete(cc.pending, seq)
		answer <- response // does not block: the channel has a buffer of one
	}
}

// fail ends all calls that wait for an answer, and makes later ones fail.
func (cc *clientConn) fail() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.failed = true
	for _, answer := range cc.pending {
		close(answer)
	}
	clear(cc.pending)
}
