package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// keyImages is the key of an imagesRecord, which stores which machines hold which images. Its frame is
// machines.ImageLocations in CBOR, compressed with zstd. No safety rule depends on the record: a leader that finds none,
// or one that it cannot read, starts without it.
const keyImages = "hint/images"

// imagesRecord is the record that is stored at keyImages.
type imagesRecord struct {
	Frame []byte `json:"z"`
}

// imageHints is the state for handing over to the next leader which machines hold which images.
type imageHints struct {
	codec          *charge.Codec                     // nil until it is needed
	nextWrite      time.Time                         // the record is not written before this time
	inFlight       bool                              // a write of the record is in flight
	notYetRestored map[string][]machines.CachedImage // images that a former leader stored, by machine; an entry is removed at the machine's first heartbeat
}

// loadImages reads the record of the former leader. If that fails, the loop starts without it. It runs outside the
// loop's goroutine.
func (l *Loop) loadImages(ctx context.Context) {
	item, ok, err := l.store.Urgent().Get(ctx, keyImages)
	if err != nil || !ok {
		return
	}
	codec, images, err := decodeImages(item.Value)
	if err != nil {
		l.log.Info("stored image hints unreadable; starting without them", "err", err)
		return
	}
	notYetRestored := images.ByMachine()
	l.post(func() {
		l.images.notYetRestored, l.images.codec = notYetRestored, codec // the codec is reused, since each needs some MB
		for _, m := range l.machines.Machines {
			l.restoreImages(m)
		}
	})
}

// decodeImages decodes a record of images. It also returns the codec that it made, for reuse.
func decodeImages(value json.RawMessage) (codec *charge.Codec, images machines.ImageLocations, err error) {
	codec, err = charge.NewCodec()
	if err != nil {
		return nil, images, fmt.Errorf("create codec: %w", err)
	}
	var r imagesRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, images, fmt.Errorf("decode record of images: %w", err)
	}
	if err := codec.Decode(r.Frame, &images); err != nil {
		return nil, images, fmt.Errorf("decode compressed frame of the record of images: %w", err)
	}
	return codec, images, nil
}

// restoreImages applies, once, the images that a former leader stored for a machine.
func (l *Loop) restoreImages(m *machines.Machine) {
	if images := l.images.notYetRestored[m.Name]; images != nil {
		delete(l.images.notYetRestored, m.Name)
		m.RestoreImages(images, l.startedAt)
	}
}

// stepImages stores which machines hold which images, every ImagesStoreEvery, if the write limit of the key-value store
// has room to spare.
func (l *Loop) stepImages(now time.Time) {
	if l.images.inFlight || now.Before(l.images.nextWrite) || l.store.SpareWrites() < tuning.ImagesSpareChangesMin {
		return
	}
	l.images.nextWrite = now.Add(tuning.ImagesStoreEvery)
	value := l.encodeImages(l.machines.ImageLocations(l.cacheGB))
	if value == nil {
		return
	}
	l.images.inFlight = true
	go l.writeImages(value)
}

// cacheGB is the size of the image cache of a machine type, in gigabytes; 0 if the type is not known.
func (l *Loop) cacheGB(typ string) float64 {
	if t := l.env.machineType(typ); t != nil {
		return t.CacheGB
	}
	return 0
}

// writeImages stores the record of images. A write that fails is not repeated before the next one is due.
func (l *Loop) writeImages(value json.RawMessage) {
	_, err := l.commit(wire.Txn{Then: []wire.Change{{Put: keyImages, Value: value}}}, nil)
	if errors.Is(err, errDeposed) {
		l.endTerm(err)
		return
	}
	if err != nil {
		l.log.Debug("storing image hints failed; retrying at the next interval", "err", err)
	}
	l.post(func() { l.images.inFlight = false })
}

// encodeImages encodes the record of images. If it would be too long, the images that the fewest machines hold are
// left out. It returns nil if there is nothing to store.
func (l *Loop) encodeImages(images machines.ImageLocations) json.RawMessage {
	if l.images.codec == nil {
		codec, err := charge.NewCodec()
		if err != nil {
			l.log.Error("creating the codec for image hints failed; not storing them", "err", err)
			return nil
		}
		l.images.codec = codec
	}
	for ; len(images.Images) > 0; images.Images = images.Images[:len(images.Images)/2] {
		value := wire.EncodeRecord(imagesRecord{l.images.codec.Encode(images)})
		if float64(len(value)) <= l.env.Settings.Cluster.State.MaxValueKiB*1024 && len(value) <= tuning.TxnTargetBytes {
			return value
		}
	}
	return nil
}
