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

// frameLength is how many bytes tell the length of the rest of a frame, the highest first.
const frameLength = 4

// errMalformed marks a frame that is no message; the connection ends.
var errMalformed = errors.New("malformed frame between controllers")

// readFrame reads a length of 4 bytes and as many bytes as that tells.
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

// frameOf puts a finished message behind its length.
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
