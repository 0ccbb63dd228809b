package peerrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"poppypass/internal/cluster/peerrpc/fb"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// frameLength is the size in bytes of a frame's length prefix, which is big-endian and does not count itself.
const frameLength = 4

// errMalformed marks a frame that cannot be decoded. The connection is then closed.
var errMalformed = errors.New("malformed message from a peer")

// readFrame reads the length prefix of a frame and returns the bytes that follow it.
func readFrame(r io.Reader) ([]byte, error) {
	var size [frameLength]byte
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

// frameOf returns a finished message with its length prefix.
func frameOf(b *flatbuffers.Builder) []byte {
	body := b.FinishedBytes()
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, frameLength+len(body)), uint32(len(body))), body...)
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

// stringVector writes names as a vector and returns its offset: 0, which means no vector, if there are no names.
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

// namesOf reads a vector of n names.
func namesOf(n int, name func(int) []byte) []string {
	var out []string
	for i := range n {
		out = append(out, string(name(i)))
	}
	return out
}

// recoverMalformed calls fn and turns a panic in it into an error. The FlatBuffers accessors do not verify
// what they read and panic on malformed bytes, and a peer's malformed bytes must not crash a controller.
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
