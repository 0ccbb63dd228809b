package machines

import (
	"math"
	"math/rand/v2"
	"testing"

	"poppypass/internal/platform/tuning"
)

// Guards against a machine that runs everything three times slower and goes on getting tasks, and against one
// that is given up since a few of its tasks happened to be long.
func TestSlowMachinesAreFoundAndOthersAreNot(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	run := func() float64 { return 60 * math.Exp(0.42*r.NormFloat64()) }
	others := make([]float64, 12)
	tasks := func(factor float64, most int) int {
		var p RelativeSpeed
		for n := 1; n <= most; n++ {
			for i := range others {
				others[i] = run()
			}
			if p.Note(factor*run(), others) {
				return n
			}
		}
		return most + 1
	}
	found, sum := 0, 0
	for range 1000 {
		if n := tasks(3, 40); n <= 40 {
			found++
			sum += n
		}
	}
	if found < 990 || sum > 12*found {
		t.Errorf("of 1,000 slow machines %d are found, after %.1f tasks", found, float64(sum)/float64(found))
	}
	wrong := 0
	for range 1000 {
		if tasks(1.1, 200) <= 200 {
			wrong++
		}
	}
	if wrong > 10 {
		t.Errorf("%d of 1,000 machines that are a tenth slower are given up within 200 tasks", wrong)
	}
}

func TestOneLongTaskProvesNothing(t *testing.T) {
	var p RelativeSpeed
	if p.Note(1e6, []float64{1, 1, 1, 1, 1, 1}) || p.Note(1, nil) || p.Note(9, []float64{1, 1}) {
		t.Error("given up after one task, or with nothing to compare it with")
	}
	if (&RelativeSpeed{evidence: tuning.SlowEvidence}).Note(60, []float64{60, 60, 60, 60, 60}) {
		t.Error("a task of usual length speaks against its machine")
	}
}
