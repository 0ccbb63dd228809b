package machines

import (
	"math"
	"math/rand/v2"
	"testing"

	"poppypass/internal/platform/tuning"
)

// Guards against a machine that runs everything three times slower and still gets tasks, and against a normal machine
// that counts as slow because a few of its tasks happened to be long.
func TestSlowMachinesAreFoundAndOthersAreNot(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	runTime := func() float64 { return 60 * math.Exp(0.42*rnd.NormFloat64()) }
	others := make([]float64, 12)
	tasksUntilSlow := func(factor float64, limit int) int {
		var speed RelativeSpeed
		for n := 1; n <= limit; n++ {
			for i := range others {
				others[i] = runTime()
			}
			if speed.Note(factor*runTime(), others) {
				return n
			}
		}
		return limit + 1
	}
	found, sum := 0, 0
	for range 1000 {
		if n := tasksUntilSlow(3, 40); n <= 40 {
			found++
			sum += n
		}
	}
	if found < 990 || sum > 12*found {
		t.Errorf("of 1,000 slow machines %d are detected, after %.1f tasks on average", found, float64(sum)/float64(found))
	}
	misjudged := 0
	for range 1000 {
		if tasksUntilSlow(1.1, 200) <= 200 {
			misjudged++
		}
	}
	if misjudged > 10 {
		t.Errorf("%d of 1,000 machines that are a tenth slower count as slow within 200 tasks", misjudged)
	}
}

func TestOneLongTaskProvesNothing(t *testing.T) {
	var speed RelativeSpeed
	if speed.Note(1e6, []float64{1, 1, 1, 1, 1, 1}) || speed.Note(1, nil) || speed.Note(9, []float64{1, 1}) {
		t.Error("machine counts as slow after one task, or without enough tasks to compare with")
	}
	if (&RelativeSpeed{evidence: tuning.SlowLogLikelihoodRatio}).Note(60, []float64{60, 60, 60, 60, 60}) {
		t.Error("a task of median length left its machine counted as slow")
	}
}
