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

// lengthPrefixBytes is the size in bytes of a frame's length prefix, which is big-endian and does not count itself.
const lengthPrefixBytes = 4

// errMalformed marks a frame that cannot be decoded. The connection is then closed.
var errMalformed = errors.New("malformed message from a peer")

// readFrame reads the length prefix of a frame and returns the bytes that follow it.
func readFrame(r io.Reader) ([]byte, error) {
	var size [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n == 0 || n > tuning.PeerFrameMaxBytes {
		return nil, errMalformed
	}
	buf := make([]byte, n)
	_, err := io.ReadFull(r, buf)
	return buf, err
}

// frameMessage returns a finished message with its length prefix.
func frameMessage(b *flatbuffers.Builder) []byte {
	body := b.FinishedBytes()
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, lengthPrefixBytes+len(body)), uint32(len(body))), body...)
}

func encodeRequest(seq uint64, request Request) []byte {
	b := flatbuffers.NewBuilder(128 + len(request.Payload))
	job := b.CreateString(request.Job)
	payload := b.CreateByteVector(request.Payload)
	names := stringVector(b, request.Names, fb.RequestStartNamesVector)
	fb.RequestStart(b)
	fb.RequestAddSeq(b, seq)
	fb.RequestAddVerb(b, fb.Verb(request.Verb))
	fb.RequestAddJob(b, job)
	fb.RequestAddPayload(b, payload)
	fb.RequestAddNumber(b, request.TermOrLease)
	fb.RequestAddNames(b, names)
	b.Finish(fb.RequestEnd(b))
	return frameMessage(b)
}

func encodeResponse(seq uint64, response Response) []byte {
	b := flatbuffers.NewBuilder(128 + len(response.Payload))
	payload := b.CreateByteVector(response.Payload)
	state := b.CreateString(string(response.Job.State))
	leader := b.CreateString(response.Leader)
	names := stringVector(b, response.Names, fb.ResponseStartNamesVector)
	fb.ResponseStart(b)
	fb.ResponseAddSeq(b, seq)
	fb.ResponseAddStatus(b, uint16(response.Status))
	fb.ResponseAddState(b, state)
	fb.ResponseAddDone(b, uint32(response.Job.Done))
	fb.ResponseAddRunning(b, uint32(response.Job.Running))
	fb.ResponseAddPayload(b, payload)
	fb.ResponseAddLeader(b, leader)
	fb.ResponseAddTerm(b, response.Term)
	fb.ResponseAddNames(b, names)
	b.Finish(fb.ResponseEnd(b))
	return frameMessage(b)
}

// stringVector writes names as a vector and returns its offset: 0, which means no vector, if there are no names.
func stringVector(b *flatbuffers.Builder, names []string, start func(*flatbuffers.Builder, int) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	if len(names) == 0 {
		return 0
	}
	offsets := make([]flatbuffers.UOffsetT, len(names))
	for i, n := range names {
		offsets[i] = b.CreateString(n)
	}
	start(b, len(offsets))
	for _, offset := range slices.Backward(offsets) {
		b.PrependUOffsetT(offset)
	}
	return b.EndVector(len(offsets))
}

// readNames reads a vector of count names.
func readNames(count int, nameAt func(int) []byte) []string {
	var names []string
	for i := range count {
		names = append(names, string(nameAt(i)))
	}
	return names
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

func decodeRequest(buf []byte) (seq uint64, request Request, err error) {
	err = recoverMalformed(func() {
		message := fb.GetRootAsRequest(buf, 0)
		seq, request = message.Seq(), Request{Verb: Verb(message.Verb()), Job: string(message.Job()), Payload: message.PayloadBytes(), TermOrLease: message.Number(), Names: readNames(message.NamesLength(), message.Names)}
	})
	return seq, request, err
}

func decodeResponse(buf []byte) (seq uint64, response Response, err error) {
	err = recoverMalformed(func() {
		message := fb.GetRootAsResponse(buf, 0)
		seq = message.Seq()
		response = Response{Status: int(message.Status()), Job: wire.JobStatus{
			State: wire.JobState(message.State()), Done: int(message.Done()), Running: int(message.Running()),
		}, Payload: message.PayloadBytes(), Leader: string(message.Leader()), Term: message.Term(), Names: readNames(message.NamesLength(), message.Names)}
	})
	return seq, response, err
}
