package charge

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// A pack is stored as one byte that identifies the format, followed by CBOR. The
// CBOR encodes structs as arrays without field names. Long-term records are zstd frames of
// CBOR; zstd's checksum detects damaged frames.

// packFormatVersion identifies the only format of packs so far.
const packFormatVersion = 1

var (
	// ErrUnknownFormat means that a pack was stored in a format that this version does not know.
	ErrUnknownFormat = errors.New("charges are stored in an unknown format")
	// ErrMalformed means that a stored pack does not contain valid charges.
	ErrMalformed = errors.New("stored charges are malformed")
	// ErrDamaged means that a record cannot be decompressed.
	ErrDamaged = errors.New("a compressed record is damaged")
	// ErrMalformedRecord means that a decompressed record does not have the expected type.
	ErrMalformedRecord = errors.New("a compressed record is malformed")
)

// EncodePack encodes a pack for storage.
func EncodePack(p *Pack) []byte {
	raw, err := cbor.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("cannot encode a pack of charges: %v", err))
	}
	return append([]byte{packFormatVersion}, raw...)
}

// DecodePack decodes a stored pack. The error wraps ErrUnknownFormat or ErrMalformed.
func DecodePack(raw []byte) (*Pack, error) {
	if len(raw) == 0 || raw[0] != packFormatVersion {
		return nil, ErrUnknownFormat
	}
	p := &Pack{}
	if err := cbor.Unmarshal(raw[1:], p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for i := range p.Charges {
		if c := &p.Charges[i]; c.KindIndex < 0 || c.KindIndex >= len(p.Kinds) || c.RunMS < 0 {
			return nil, fmt.Errorf("%w: a charge of job %s has an invalid kind or a negative run time", ErrMalformed, p.Job)
		}
	}
	return p, nil
}

// Codec encodes and compresses long-term records. It is not safe for concurrent use.
type Codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// maxDecompressedBytes bounds the size, in bytes, of a decompressed record. A frame that claims a larger
// size is damaged.
const maxDecompressedBytes = 8 << 20

// NewCodec returns a codec. A codec uses about 2 MB of memory.
func NewCodec() (*Codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, fmt.Errorf("compression: %w", err)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, fmt.Errorf("compression: %w", err)
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// Encode returns a value as compressed CBOR.
func (c *Codec) Encode(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("cannot encode a record: %v", err))
	}
	return c.enc.EncodeAll(raw, nil)
}

// Decode decodes the result of Encode into v. The error wraps ErrDamaged or ErrMalformedRecord.
func (c *Codec) Decode(raw []byte, v any) error {
	decompressed, err := c.dec.DecodeAll(raw, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := cbor.Unmarshal(decompressed, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedRecord, err)
	}
	return nil
}
