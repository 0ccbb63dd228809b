package dagfile

import (
	"strings"
	"testing"
)

// A file that allocates memory without end takes few execution steps, so the limit of steps does not stop it. The limit
// of memory does.
func TestAFileThatAllocatesWithoutEndIsCancelled(t *testing.T) {
	limits := DefaultLimits()
	limits.Memory = 16 << 20
	src := "DAG('g')\nx = []\nfor i in range(100000):\n  x.append(list(range(100000)))\n"
	if _, err := Load("f.star", []byte(src), limits); err == nil || !strings.Contains(err.Error(), "16 MB") {
		t.Errorf("want an error that names the limit of 16 MB, got %v", err)
	}
}

func TestGuardedProductsHaveTheirUsualValues(t *testing.T) {
	src := `
x = 3
x *= 4
y = [2 * 3, "ab" * 2, 2 * [1], 2.5 * 2, 10 * 10 * 10]
if x != 12 or y != [6, "abab", [1, 1], 5.0, 1000]:
    fail("x is %d and y is %s" % (x, y))
DAG("g")
`
	if _, err := Load("f.star", []byte(src), DefaultLimits()); err != nil {
		t.Error(err)
	}
}
