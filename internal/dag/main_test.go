package dag

import (
	"os"
	"testing"

	"poppypass/internal/standin"
)

func TestMain(m *testing.M) { os.Exit(standin.FixedSeed(m)) }
