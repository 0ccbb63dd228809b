package charge

import (
	"errors"
	"testing"
)

func TestDamagedRecordsAreToldApart(t *testing.T) {
	codec, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	badKind := fullPack()
	badKind.Charges[0].Kind = len(badKind.Kinds)
	negative := fullPack()
	negative.Charges[0].Run = -1
	good := codec.Encode([]Pack{*fullPack()})
	flipped := append([]byte(nil), good...)
	flipped[len(flipped)-1] ^= 1 // a bit of the checksum
	pack := func(raw []byte) error { _, err := DecodePack(raw); return err }
	compressed := func(raw []byte) error { return codec.Decode(raw, new([]Pack)) }
	for _, c := range []struct {
		name string
		read func([]byte) error
		raw  []byte
		want error
	}{
		{"an empty pack", pack, nil, ErrUnknownFormat},
		{"a pack of a later format", pack, []byte{packFormat + 1}, ErrUnknownFormat},
		{"a truncated pack", pack, []byte{packFormat}, ErrMalformed},
		{"a charge whose kind is not in the pack", pack, EncodePack(badKind), ErrMalformed},
		{"a charge with a negative run time", pack, EncodePack(negative), ErrMalformed},
		{"a record that is not compressed", compressed, []byte("plain"), ErrDamaged},
		{"a record with a wrong checksum", compressed, flipped, ErrDamaged},
		{"a record of another type", compressed, codec.Encode("text"), ErrMalformedRecord},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := c.read(c.raw); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
		})
	}
}
