package ledger

import (
	"os"
	"testing"

	"poppypass/internal/sim/testutil"
)

func TestMain(m *testing.M) { os.Exit(testutil.FixedSeed(m)) }
