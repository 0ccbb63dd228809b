package dag

import (
	"os"
	"testing"

	"poppypass/internal/sim/fakes"
)

func TestMain(m *testing.M) { os.Exit(fakes.FixedSeed(m)) }
