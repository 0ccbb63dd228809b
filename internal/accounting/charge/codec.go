package charge

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Stored forms. A pack is CBOR, as arrays without field names, behind a byte
// that names the format. What is kept for long is a zstd frame of CBOR; zstd's
// own checksum finds a damaged one.
const packFormat = 1

// EncodePack gives a pack's stored form.
func EncodePack(p *Pack) []byte {
	raw, err := cbor.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("packs are always encodable: %v", err))
	}
	return append([]byte{packFormat}, raw...)
}

// DecodePack reads a pack's stored form.
func DecodePack(raw []byte) (*Pack, error) {
	if len(raw) == 0 || raw[0] != packFormat {
		return nil, fmt.Errorf("charges are stored in an unknown format")
	}
	p := &Pack{}
	if err := cbor.Unmarshal(raw[1:], p); err != nil {
		return nil, fmt.Errorf("stored charges are malformed: %w", err)
	}
	for i := range p.Charges {
		if c := &p.Charges[i]; c.Kind < 0 || c.Kind >= len(p.Kinds) || c.Run < 0 {
			return nil, fmt.Errorf("stored charges of %s are malformed", p.Job)
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

// Encode gives the compressed form of a value.
func (c *Codec) Encode(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("records are always encodable: %v", err))
	}
	return c.enc.EncodeAll(raw, nil)
}

// Decode reads a compressed form into v.
func (c *Codec) Decode(raw []byte, v any) error {
	plain, err := c.dec.DecodeAll(raw, nil)
	if err != nil {
		return fmt.Errorf("a compressed record is damaged: %w", err)
	}
	if err := cbor.Unmarshal(plain, v); err != nil {
		return fmt.Errorf("a compressed record is malformed: %w", err)
	}
	return nil
}
