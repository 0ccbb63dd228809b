package instancetypes

import (
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/clients/statestore"
	"poppypass/internal/platform/golden"
	"poppypass/internal/platform/wire"
	"poppypass/internal/sim/fakes"
)

func TestStoredCatalog(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := fakes.NewStore(clock)
	t.Cleanup(state.Close)
	types := golden.Fill(new([]wire.MachineType))
	store := &Catalog{
		Store: statestore.New(state.Addr(), 1e6, 1e6), ValueKB: 16, Clock: clock, Log: slog.New(slog.DiscardHandler),
		Guard: func() (wire.Condition, bool) { return wire.Condition{Key: "lead/holder"}, true },
	}
	store.Set(*types)
	store.Save(t.Context())
	item, ok := state.Value(Key)
	if !ok {
		t.Fatal("the machine types are not stored")
	}
	golden.Lines(t, "catalog", Key+" "+string(item.Value))

	other := &Catalog{Store: store.Store, Clock: clock, Log: store.Log}
	other.load(t.Context())
	golden.Equal(t, "catalog", other.Types(), *types)
}
