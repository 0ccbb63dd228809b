package machines

import (
	"testing"

	"poppypass/internal/platform/golden"
)

func TestStoredFormats(t *testing.T) {
	held := CachedImage{Name: "img-07", GB: 6.25, MachineBits: []byte{3}}
	golden.CBORRoundTrip(t, "held-image", &held)
	golden.CBORRoundTrip(t, "images", &ImageLocations{Machines: []string{"n-1", "n-2"}, Images: []CachedImage{held}})
}
