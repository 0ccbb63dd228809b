package charge

import (
	"errors"
	"testing"
)

func TestDecodeErrorsIdentifyTheFault(t *testing.T) {
	codec, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	invalidKind := fullPack()
	invalidKind.Charges[0].KindIndex = len(invalidKind.Kinds)
	negativeRun := fullPack()
	negativeRun.Charges[0].RunMS = -1
	valid := codec.Encode([]Pack{*fullPack()})
	wrongChecksum := append([]byte(nil), valid...)
	wrongChecksum[len(wrongChecksum)-1] ^= 1 // a bit of the checksum
	decodePack := func(raw []byte) error { _, err := DecodePack(raw); return err }
	decodeCompressed := func(raw []byte) error { return codec.Decode(raw, new([]Pack)) }
	for _, c := range []struct {
		name string
		read func([]byte) error
		raw  []byte
		want error
	}{
		{"an empty pack", decodePack, nil, ErrUnknownFormat},
		{"a pack of a later format", decodePack, []byte{packFormatVersion + 1}, ErrUnknownFormat},
		{"a truncated pack", decodePack, []byte{packFormatVersion}, ErrMalformed},
		{"a charge whose kind is not in the pack", decodePack, EncodePack(invalidKind), ErrMalformed},
		{"a charge with a negative run time", decodePack, EncodePack(negativeRun), ErrMalformed},
		{"a record that is not compressed", decodeCompressed, []byte("plain"), ErrDamaged},
		{"a record with a wrong checksum", decodeCompressed, wrongChecksum, ErrDamaged},
		{"a record of another type", decodeCompressed, codec.Encode("text"), ErrMalformedRecord},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := c.read(c.raw); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
		})
	}
}
