package machines

import (
	"testing"

	"poppypass/internal/platform/golden"
)

func TestStoredFormats(t *testing.T) {
	held := HeldImage{Name: "img-07", GB: 6.25, On: []byte{3}}
	golden.CBOR(t, "held-image", &held)
	golden.CBOR(t, "images", &Images{Machines: []string{"n-1", "n-2"}, Held: []HeldImage{held}})
}
