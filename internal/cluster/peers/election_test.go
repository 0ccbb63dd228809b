package peers

import (
	"net/http"
	"testing"

	"poppypass/internal/cluster/election"
)

// Guards against votes that members of different versions interpret differently.
func TestVoteIsReadFromItsStatus(t *testing.T) {
	for _, c := range []struct {
		name   string
		vote   election.Vote
		status int
	}{
		{"granted", election.Granted, http.StatusOK},
		{"granted without memory", election.GrantedWithoutMemory, http.StatusAccepted},
		{"refused", election.Refused, http.StatusConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			if r := VoteResponse(c.vote); r.Status != c.status {
				t.Errorf("vote answered with status %d, want %d", r.Status, c.status)
			}
			if got := voteFromStatus(c.status); got != c.vote {
				t.Errorf("status %d is read as vote %d, want %d", c.status, got, c.vote)
			}
		})
	}
}

// Guards against a vote that is counted although the member did not grant it.
func TestUnknownStatusGrantsNoVote(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotFound, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		if got := voteFromStatus(status); got != election.Refused {
			t.Errorf("status %d is read as vote %d, want a refusal", status, got)
		}
	}
}
