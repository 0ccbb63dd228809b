package leader

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/scheduler/machines"
)

// Guards against a record that is too long for the key-value store: the images that the fewest machines hold are
// left out.
func TestImagesRecordFitsAValue(t *testing.T) {
	l, _ := newTestLoop(t)
	l.env.Settings.Cluster.State.MaxValueKiB = 2
	var images machines.ImageLocations
	for i := range 200 {
		images.Machines = append(images.Machines, fmt.Sprintf("n-%06d", i))
	}
	for i := range 300 {
		holders := []byte(strings.Repeat(string(rune('A'+i%50)), 25))
		images.Images = append(images.Images, machines.CachedImage{Name: fmt.Sprintf("img-%d-%x", i, i*i*7919), GB: 1, MachineBits: holders})
	}
	value := l.encodeImages(images)
	if value == nil || len(value) > 2048 {
		t.Fatalf("the record has %d bytes, want 1 to 2048", len(value))
	}
	var r imagesRecord
	var got machines.ImageLocations
	codec, err := charge.NewCodec()
	if err == nil {
		err = json.Unmarshal(value, &r)
	}
	if err == nil {
		err = codec.Decode(r.Frame, &got)
	}
	if err != nil || len(got.Machines) != 200 || len(got.Images) == 0 || got.Images[0].Name != images.Images[0].Name {
		t.Errorf("decoding the record: error %v, %d machines, %d images", err, len(got.Machines), len(got.Images))
	}
	if l.encodeImages(machines.ImageLocations{}) != nil {
		t.Error("a record is made though there are no images")
	}
}

// The images that a former leader stored for a machine are applied once the machine sends a heartbeat, and only once.
func TestImageHintsAreRestoredOnce(t *testing.T) {
	l, _ := newTestLoop(t)
	m := l.machines.Machines["n-large"]
	l.images.notYetRestored = map[string][]machines.CachedImage{m.Name: {{Name: "img-x", GB: 1}}}
	l.restoreImages(m)
	l.restoreImages(m)
	if !m.HasImage("img-x", 10) || len(l.images.notYetRestored) != 0 {
		t.Errorf("machine holds img-x: %v, stored images not applied yet: %v", m.HasImage("img-x", 10), l.images.notYetRestored)
	}
}
