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
	leaderCatalog := &Catalog{
		Store: statestore.New(state.Addr(), 1e6, 1e6), MaxValueKiB: 16, Clock: clock, Log: slog.New(slog.DiscardHandler),
		Guard: func() (wire.Condition, bool) { return wire.Condition{Key: "lead/holder"}, true },
	}
	leaderCatalog.Set(*types)
	leaderCatalog.Save(t.Context())
	item, ok := state.Value(Key)
	if !ok {
		t.Fatal("the machine types are not stored")
	}
	golden.Lines(t, "catalog", Key+" "+string(item.Value))

	loadedCatalog := &Catalog{Store: leaderCatalog.Store, Clock: clock, Log: leaderCatalog.Log}
	loadedCatalog.load(t.Context())
	golden.Equal(t, "catalog", loadedCatalog.Types(), *types)
}
