package leader

import (
	"encoding/json"
	"testing"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/golden"
	"poppypass/internal/scheduler/machines"
)

func TestStoredFormats(t *testing.T) {
	golden.JSONRoundTrip(t, "link", golden.Fill(new(chainLinkRecord)))
	golden.JSONRoundTrip(t, "images", golden.Fill(new(imagesRecord)))
	golden.Lines(t, "keys", keyChainLink, keyImages)
}

// Guards the JSON in which a member relays a command to the leader.
func TestCommandFormat(t *testing.T) {
	golden.JSONRoundTrip(t, "command", golden.Fill(new(Command)))
}

func TestStoredImages(t *testing.T) {
	loop, _ := newTestLoop(t)
	loop.env.Settings.Cluster.State.MaxValueKiB = 16
	images := machines.ImageLocations{Machines: []string{"n-1", "n-2"}, Images: []machines.CachedImage{{Name: "img-07", GB: 6.25, MachineBits: []byte{3}}}}
	value := loop.encodeImages(images)
	golden.Check(t, "images-of-machines", value)
	var record imagesRecord
	if err := json.Unmarshal(value, &record); err != nil {
		t.Fatal(err)
	}
	codec, err := charge.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	var decoded machines.ImageLocations
	if err := codec.Decode(record.Frame, &decoded); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "images-of-machines", decoded, images)
}
