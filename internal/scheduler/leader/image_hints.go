package leader

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
	"poppypass/internal/scheduler/machines"
)

// keyImages holds which machines hold which images: {"z": a zstd frame of CBOR, machines.Images}. Nothing of the rules
// hangs on it; a leader that finds none, or one that it cannot read, begins without.
const keyImages = "hint/images"

type imagesRecord struct {
	Frame []byte `json:"z"`
}

// imageHints is what the loop keeps for handing on what machines hold.
type imageHints struct {
	codec   *charge.Codec // nil until it is needed
	next    time.Time     // nothing is stored before
	writing bool
	told    map[string][]machines.HeldImage // by a former leader, of machines that have not reported yet
}

// loadImages reads what the former leader left; it may fail.
func (l *Loop) loadImages(ctx context.Context) {
	item, ok, err := l.store.Urgent().Get(ctx, keyImages)
	if err != nil || !ok {
		return
	}
	var r imagesRecord
	var images machines.Images
	codec, err := charge.NewCodec()
	if err == nil {
		err = json.Unmarshal(item.Value, &r)
	}
	if err == nil {
		err = codec.Decode(r.Frame, &images)
	}
	if err != nil {
		l.log.Info("what machines hold is not known", "err", err)
		return
	}
	told := images.ByMachine()
	l.post(func() {
		l.images.told, l.images.codec = told, codec // it takes some MB: the loop goes on with it
		for _, m := range l.machines.Machines {
			l.recallImages(m)
		}
	})
}

// recallImages takes in what was told of a machine, once.
func (l *Loop) recallImages(m *machines.Machine) {
	if held := l.images.told[m.Name]; held != nil {
		delete(l.images.told, m.Name)
		m.RestoreImages(held, l.startedAt)
	}
}

// stepImages stores what machines hold, now and then, when changes are to spare.
func (l *Loop) stepImages(now time.Time) {
	if l.images.writing || now.Before(l.images.next) {
		return
	}
	if l.store.SpareWrites() < tuning.ImagesRoom {
		return
	}
	l.images.next = now.Add(tuning.ImagesEvery)
	images := l.machines.Images(func(typ string) float64 {
		if t := l.env.typeOf(typ); t != nil {
			return t.CacheGB
		}
		return 0
	})
	value := l.encodeImages(images)
	if value == nil {
		return
	}
	l.images.writing = true
	go func() {
		_, err := l.commit(wire.Txn{Then: []wire.Change{{Put: keyImages, Value: value}}}, nil)
		if errors.Is(err, errDeposed) {
			l.end(err)
			return
		}
		if err != nil {
			l.log.Debug("what machines hold is not stored", "err", err)
		}
		l.post(func() { l.images.writing = false })
	}()
}

// encodeImages gives the record, without the images that fewest hold if it were too long; nil: there is nothing to tell.
func (l *Loop) encodeImages(images machines.Images) json.RawMessage {
	if l.images.codec == nil {
		codec, err := charge.NewCodec()
		if err != nil {
			l.log.Error("what machines hold cannot be stored", "err", err)
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
