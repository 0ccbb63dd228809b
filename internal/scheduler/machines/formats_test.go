package machines

import (
	"testing"

	"poppypass/internal/platform/golden"
)

func TestStoredFormats(t *testing.T) {
	cached := CachedImage{Name: "img-07", GB: 6.25, MachineBits: []byte{3}}
	golden.CBORRoundTrip(t, "held-image", &cached)
	golden.CBORRoundTrip(t, "images", &ImageLocations{Machines: []string{"n-1", "n-2"}, Images: []CachedImage{cached}})
}
