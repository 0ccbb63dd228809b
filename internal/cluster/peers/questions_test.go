package peers

import (
	"errors"
	"net/http"
	"slices"
	"testing"

	"poppypass/internal/cluster/workerlease"
)

// Guards against a member that cannot tell, or did not say, whether it answered a machine: it must not count as a
// member that did not answer the machine.
func TestOnlyAMemberThatIsSureDeniesRenewals(t *testing.T) {
	names := []string{"n-1", "n-2"}
	for _, c := range []struct {
		name   string
		status int
		err    error
	}{
		{"it is sure", http.StatusOK, nil},
		{"it cannot tell", http.StatusConflict, workerlease.ErrUnsure},
		{"it does not know the request", http.StatusNotFound, workerlease.ErrUnsure},
	} {
		t.Run(c.name, func(t *testing.T) {
			renewed, err := newPeersAnswering(t, c.status).MayHaveRenewed(t.Context(), "m0", names)
			if !errors.Is(err, c.err) || err == nil && !slices.Equal(renewed, names) {
				t.Errorf("answered %d: %v, %v; want %v", c.status, renewed, err, c.err)
			}
		})
	}
	if _, err := newPeersAt("127.0.0.1:1").MayHaveRenewed(t.Context(), "m0", names); err == nil || errors.Is(err, workerlease.ErrUnsure) {
		t.Errorf("a member that cannot be reached: error %v, want that of the call", err)
	}
}
