// Package peerrpc carries what controllers say among themselves: FlatBuffers in
// frames with a length, over TCP. A follower hands the leader what only the
// leader may answer.
package peerrpc

//go:generate flatc --go mesh.fbs

// The compiler is flatc 2.0.8, as Debian 12 packages it; its output in fb/ is
// committed, so that building needs no compiler.

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	flatbuffers "github.com/google/flatbuffers/go"

	"poppypass/internal/cluster/peerrpc/fb"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Verb is what a request asks.
type Verb byte

// The verbs.
const (
	JobStatus        = Verb(fb.VerbQuery)      // a job's state, of the leader
	CancelJob        = Verb(fb.VerbCancel)     // cancel a job, of the leader
	RequestVote      = Verb(fb.VerbPromise)    // neither to campaign nor to vouch for a while, of a follower
	NotLeading       = Verb(fb.VerbNotLeading) // whether a member does not lead
	Heartbeat        = Verb(fb.VerbReport)     // a worker's report, to the leader
	SubmitJob        = Verb(fb.VerbSubmit)     // a submission, to any member
	ConfirmTermOver  = Verb(fb.VerbVouch)      // that no leader of a term, or an earlier one, can count on it any more
	EndLease         = Verb(fb.VerbYield)      // to end the lease of a leader that gave up its right
	SubsystemQuery   = Verb(fb.VerbShow)       // what a subsystem of the leader knows, by a path
	MayHaveRenewed   = Verb(fb.VerbKept)       // which of some machines a member may have kept by its zone's right
	SubsystemCommand = Verb(fb.VerbDo)         // a command to a subsystem of the leader
	ProbeWorkers     = Verb(fb.VerbReach)      // whether one of some workers, by their addresses, answers a member
	Ping             = Verb(fb.VerbPing)       // whether a member can be reached, and who leads by its knowledge
)

// Request asks another member.
type Request struct {
	Verb    Verb
	Job     string   // of a ping, who sends it
	Payload []byte   // what a worker or user sent, relayed as it came; of a ping, what its sender claims
	Number  uint64   // the term that a promise or voucher is about, or the lease to end
	Names   []string // the machines that are asked about, or workers' addresses
}

// Response is its answer; Status is an HTTP status.
type Response struct {
	Status  int
	Job     wire.JobStatus
	Payload []byte // the body for the one who asked; to a ping, what it claimed last
	Leader  string // answers a ping: who leads, and in which term
	Term    uint64
	Names   []string // those of the machines asked about that the member may have kept
}

// Handler answers a request.
type Handler func(context.Context, Request) Response

var errMalformed = errors.New("malformed mesh frame")

func readFrame(r io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n == 0 || n > tuning.PeerFrameBytes {
		return nil, errMalformed
	}
	buf := make([]byte, n)
	_, err := io.ReadFull(r, buf)
	return buf, err
}

func frameOf(b *flatbuffers.Builder) []byte {
	body := b.FinishedBytes()
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body))), body...)
}

func encodeRequest(seq uint64, r Request) []byte {
	b := flatbuffers.NewBuilder(128 + len(r.Payload))
	job := b.CreateString(r.Job)
	payload := b.CreateByteVector(r.Payload)
	names := stringVector(b, r.Names, fb.RequestStartNamesVector)
	fb.RequestStart(b)
	fb.RequestAddSeq(b, seq)
	fb.RequestAddVerb(b, fb.Verb(r.Verb))
	fb.RequestAddJob(b, job)
	fb.RequestAddPayload(b, payload)
	fb.RequestAddNumber(b, r.Number)
	fb.RequestAddNames(b, names)
	b.Finish(fb.RequestEnd(b))
	return frameOf(b)
}

func encodeResponse(seq uint64, r Response) []byte {
	b := flatbuffers.NewBuilder(128 + len(r.Payload))
	payload := b.CreateByteVector(r.Payload)
	state := b.CreateString(string(r.Job.State))
	leader := b.CreateString(r.Leader)
	names := stringVector(b, r.Names, fb.ResponseStartNamesVector)
	fb.ResponseStart(b)
	fb.ResponseAddSeq(b, seq)
	fb.ResponseAddStatus(b, uint16(r.Status))
	fb.ResponseAddState(b, state)
	fb.ResponseAddDone(b, uint32(r.Job.Done))
	fb.ResponseAddRunning(b, uint32(r.Job.Running))
	fb.ResponseAddPayload(b, payload)
	fb.ResponseAddLeader(b, leader)
	fb.ResponseAddTerm(b, r.Term)
	fb.ResponseAddNames(b, names)
	b.Finish(fb.ResponseEnd(b))
	return frameOf(b)
}

// stringVector writes names; 0, which is no vector, if there are none.
func stringVector(b *flatbuffers.Builder, names []string, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	if len(names) == 0 {
		return 0
	}
	at := make([]flatbuffers.UOffsetT, len(names))
	for i, n := range names {
		at[i] = b.CreateString(n)
	}
	start(b, len(at))
	for _, o := range slices.Backward(at) {
		b.PrependUOffsetT(o)
	}
	return b.EndVector(len(at))
}

// namesOf reads names.
func namesOf(n int, name func(int) []byte) []string {
	var out []string
	for i := range n {
		out = append(out, string(name(i)))
	}
	return out
}

// recoverMalformed turns a panic of the FlatBuffers accessors, which do not verify what
// they read, into an error: a peer's malformed bytes must not end a controller.
func recoverMalformed(fn func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errMalformed, p)
		}
	}()
	fn()
	return nil
}

func decodeRequest(buf []byte) (seq uint64, r Request, err error) {
	err = recoverMalformed(func() {
		m := fb.GetRootAsRequest(buf, 0)
		seq, r = m.Seq(), Request{Verb: Verb(m.Verb()), Job: string(m.Job()), Payload: m.PayloadBytes(), Number: m.Number(), Names: namesOf(m.NamesLength(), m.Names)}
	})
	return seq, r, err
}

func decodeResponse(buf []byte) (seq uint64, r Response, err error) {
	err = recoverMalformed(func() {
		m := fb.GetRootAsResponse(buf, 0)
		seq = m.Seq()
		r = Response{Status: int(m.Status()), Job: wire.JobStatus{
			State: wire.JobState(m.State()), Done: int(m.Done()), Running: int(m.Running()),
		}, Payload: m.PayloadBytes(), Leader: string(m.Leader()), Term: m.Term(), Names: namesOf(m.NamesLength(), m.Names)}
	})
	return seq, r, err
}

// Serve answers peers on a listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, h Handler, log *slog.Logger) {
	context.AfterFunc(ctx, func() { l.Close() })
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			log.Error("mesh accept", "err", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(tuning.RetryLeader):
			}
			continue
		}
		go serveConn(ctx, conn, h, log)
	}
}

func serveConn(ctx context.Context, conn net.Conn, h Handler, log *slog.Logger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { conn.Close() })
	var writing sync.Mutex
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(tuning.PeerIdle))
		buf, err := readFrame(in)
		if err != nil {
			return
		}
		seq, req, err := decodeRequest(buf)
		if err != nil {
			log.Error("mesh request", "err", err)
			return
		}
		go func() {
			out := encodeResponse(seq, h(ctx, req))
			writing.Lock()
			defer writing.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(tuning.RelayTimeout))
			if _, err := conn.Write(out); err != nil {
				conn.Close()
			}
		}()
	}
}

// ErrSilent tells that a peer did not answer in time, now or the last time it
// was asked.
var ErrSilent = errors.New("the peer is silent")

// Client sends requests to peers, over one connection to each.
type Client struct {
	timeout time.Duration

	mu     sync.Mutex
	conns  map[string]*clientConn
	silent map[string]bool // peers that let a whole call's time pass without an answer
}

// NewClient makes a client.
func NewClient() *Client {
	return &Client{timeout: tuning.RelayTimeout, conns: map[string]*clientConn{}, silent: map[string]bool{}}
}

type clientConn struct {
	ready   chan struct{} // closed when dialled
	err     error
	conn    net.Conn
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan Response
	dead    bool
}

// Call sends a request to the peer at addr and waits for its answer. A peer that
// stands still or is cut off is found silent once; until it answers a ping
// again, other calls to it fail at once, rather than have every poll and every
// report wait out the time limit.
func (c *Client) Call(ctx context.Context, addr string, r Request) (Response, error) {
	if r.Verb != Ping && c.Silent(addr) {
		return Response{}, ErrSilent
	}
	own, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.call(own, addr, r)
	switch {
	case err == nil:
		c.setSilent(addr, false)
	case own.Err() != nil && ctx.Err() == nil && r.Verb.prompt():
		c.setSilent(addr, true)
		err = fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return resp, err
}

// prompt tells whether the verb is answered from memory. Others may wait for
// the state service, which says nothing of the peer.
func (v Verb) prompt() bool { return v == Ping || v == Heartbeat }

// Silent tells whether a peer did not answer of late.
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

func (c *Client) call(ctx context.Context, addr string, r Request) (Response, error) {
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
	seq, err := cc.send(r, answer)
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
		cc.forget(seq)
		// A connection that does not answer in time may hang for ever: the
		// next request takes a new one.
		c.drop(addr, cc)
		return Response{}, ctx.Err()
	}
}

func (c *Client) connection(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc := c.conns[addr]; cc != nil {
		return cc
	}
	cc := &clientConn{ready: make(chan struct{}), waiting: map[uint64]chan Response{}}
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

func (cc *clientConn) send(r Request, answer chan Response) (uint64, error) {
	cc.mu.Lock()
	if cc.dead {
		cc.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	cc.seq++
	seq := cc.seq
	cc.waiting[seq] = answer
	cc.mu.Unlock()
	// One Write call is atomic for a net.Conn, and its deadline keeps it short.
	_ = cc.conn.SetWriteDeadline(time.Now().Add(tuning.RelayTimeout))
	_, err := cc.conn.Write(encodeRequest(seq, r))
	return seq, err
}

func (cc *clientConn) forget(seq uint64) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	delete(cc.waiting, seq)
}

func (cc *clientConn) receive() {
	in := bufio.NewReader(cc.conn)
	for {
		buf, err := readFrame(in)
		var seq uint64
		var r Response
		if err == nil {
			seq, r, err = decodeResponse(buf)
		}
		cc.mu.Lock()
		if err != nil {
			cc.dead = true
			for _, ch := range cc.waiting {
				close(ch)
			}
			clear(cc.waiting)
			cc.mu.Unlock()
			return
		}
		if ch := cc.waiting[seq]; ch != nil {
			delete(cc.waiting, seq)
			ch <- r
		}
		cc.mu.Unlock()
	}
}
