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

// keyImages holds which machines hold which images: {"z": a zstd frame of CBOR, machines.Images}. No safety rule
// depends on it; a leader that finds none, or one that it cannot read, begins without.
const keyImages = "hint/images"

// imagesRecord is stored at keyImages.
type imagesRecord struct {
	Frame []byte `json:"z"`
}

// imageHints is what the loop keeps to hand on what machines hold.
type imageHints struct {
	codec     *charge.Codec                   // nil until it is needed
	nextWrite time.Time                       // nothing is stored before
	inFlight  bool                            // a write is
	recalled  map[string][]machines.HeldImage // what a former leader stored of machines that have sent no heartbeat yet
}

// loadImages reads what the former leader left; it may fail. It runs beside the loop.
func (l *Loop) loadImages(ctx context.Context) {
	item, ok, err := l.store.Urgent().Get(ctx, keyImages)
	if err != nil || !ok {
		return
	}
	codec, images, err := decodeImages(item.Value)
	if err != nil {
		l.log.Info("image hints unreadable", "err", err)
		return
	}
	recalled := images.ByMachine()
	l.post(func() {
		l.images.recalled, l.images.codec = recalled, codec // the codec takes some MB: the loop goes on with it
		for _, m := range l.machines.Machines {
			l.recallImages(m)
		}
	})
}

// decodeImages reads a record of images, with a codec that can be used further.
func decodeImages(value json.RawMessage) (codec *charge.Codec, images machines.Images, err error) {
	codec, err = charge.NewCodec()
	if err != nil {
		return nil, images, fmt.Errorf("making a codec: %w", err)
	}
	var r imagesRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, images, fmt.Errorf("decoding the record: %w", err)
	}
	if err := codec.Decode(r.Frame, &images); err != nil {
		return nil, images, fmt.Errorf("decoding its frame: %w", err)
	}
	return codec, images, nil
}

// recallImages applies what a former leader stored of a machine, once.
func (l *Loop) recallImages(m *machines.Machine) {
	if held := l.images.recalled[m.Name]; held != nil {
		delete(l.images.recalled, m.Name)
		m.RestoreImages(held, l.startedAt)
	}
}

// stepImages stores what machines hold, now and then, when changes are to spare.
func (l *Loop) stepImages(now time.Time) {
	if l.images.inFlight || now.Before(l.images.nextWrite) || l.store.SpareWrites() < tuning.ImagesRoom {
		return
	}
	l.images.nextWrite = now.Add(tuning.ImagesEvery)
	value := l.encodeImages(l.machines.Images(l.cacheGB))
	if value == nil {
		return
	}
	l.images.inFlight = true
	go l.writeImages(value)
}

// cacheGB is how much of images a machine of a type can hold.
func (l *Loop) cacheGB(typ string) float64 {
	if t := l.env.typeOf(typ); t != nil {
		return t.CacheGB
	}
	return 0
}

// writeImages stores the record of images; if that fails, the next one may succeed.
func (l *Loop) writeImages(value json.RawMessage) {
	_, err := l.commit(wire.Txn{Then: []wire.Change{{Put: keyImages, Value: value}}}, nil)
	if errors.Is(err, errDeposed) {
		l.end(err)
		return
	}
	if err != nil {
		l.log.Debug("image hints not stored", "err", err)
	}
	l.post(func() { l.images.inFlight = false })
}

// encodeImages gives the record, without the images that fewest hold if it were too long; nil: there is nothing to store.
func (l *Loop) encodeImages(images machines.Images) json.RawMessage {
	if l.images.codec == nil {
		codec, err := charge.NewCodec()
		if err != nil {
			l.log.Error("image hints cannot be encoded", "err", err)
			return nil
		}
		l.images.codec = codec
	}
	for ; len(images.Held) > 0; images.Held = images.Held[:len(images.Held)/2] {
		value := wire.EncodeRecord(imagesRecord{l.images.codec.Encode(images)})
		if float64(len(value)) <= l.env.Settings.Cluster.State.ValueKB*1024 && len(value) <= tuning.CommitBytes {
			return value
		}
	}
	return nil
}
