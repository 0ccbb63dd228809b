package charge

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// A pack is stored as CBOR, as arrays without field names, behind a byte
// that names the format. What is kept for long is a zstd frame of CBOR; zstd's
// own checksum finds a damaged one.

// packFormat is the only format of packs so far.
const packFormat = 1

var (
	// ErrUnknownFormat tells that a pack was stored in a format that this version does not know.
	ErrUnknownFormat = errors.New("charges are stored in an unknown format")
	// ErrMalformed tells that a stored pack does not hold usable charges.
	ErrMalformed = errors.New("stored charges are malformed")
	// ErrDamaged tells that a compressed record cannot be expanded.
	ErrDamaged = errors.New("a compressed record is damaged")
	// ErrMalformedRecord tells that a compressed record does not hold what is expected.
	ErrMalformedRecord = errors.New("a compressed record is malformed")
)

// EncodePack returns a pack's stored form.
func EncodePack(p *Pack) []byte {
	raw, err := cbor.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("packs are always encodable: %v", err))
	}
	return append([]byte{packFormat}, raw...)
}

// DecodePack reads a pack's stored form. The error is ErrUnknownFormat or ErrMalformed.
func DecodePack(raw []byte) (*Pack, error) {
	if len(raw) == 0 || raw[0] != packFormat {
		return nil, ErrUnknownFormat
	}
	p := &Pack{}
	if err := cbor.Unmarshal(raw[1:], p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for i := range p.Charges {
		if c := &p.Charges[i]; c.Kind < 0 || c.Kind >= len(p.Kinds) || c.Run < 0 {
			return nil, fmt.Errorf("%w: of job %s", ErrMalformed, p.Job)
		}
	}
	return p, nil
}

// Codec compresses what is kept for long. It is not safe for concurrent use.
type Codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// maxPlain bounds, in bytes, what a compressed record may grow to: one that claims
// more is damaged.
const maxPlain = 8 << 20

// NewCodec makes a codec. It takes some 2 MB of memory.
func NewCodec() (*Codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, fmt.Errorf("compression: %w", err)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPlain), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, fmt.Errorf("compression: %w", err)
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// Encode returns the compressed CBOR form of a value.
func (c *Codec) Encode(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("records are always encodable: %v", err))
	}
	return c.enc.EncodeAll(raw, nil)
}

// Decode reads a compressed form into v. The error is ErrDamaged or ErrMalformedRecord.
func (c *Codec) Decode(raw []byte, v any) error {
	plain, err := c.dec.DecodeAll(raw, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := cbor.Unmarshal(plain, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedRecord, err)
	}
	return nil
}
