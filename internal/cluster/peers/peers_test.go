package peers

import (
	"log/slog"
	"testing"

	"github.com/jonboulle/clockwork"

	"poppypass/internal/platform/config"
	"poppypass/internal/platform/tuning"
)

// Guards against a member that counts as cut off since a few pings were missed, and one that never does.
func TestAMemberIsLonelyAfterAWhile(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(&config.Settings{Members: []config.Member{{Name: "m1", Endpoint: "127.0.0.1:1"}}}, clock, slog.New(slog.DiscardHandler))
	clock.Advance(2 * tuning.IsolatedFor)
	if p.Isolated() {
		t.Error("lonely before it has asked anybody")
	}
	p.hear()
	clock.Advance(tuning.IsolatedFor)
	if p.Isolated() {
		t.Error("lonely too soon")
	}
	clock.Advance(tuning.IsolatedFor / 2)
	if !p.Isolated() {
		t.Error("not lonely")
	}
	if p.hear(); p.Isolated() {
		t.Error("lonely though a member answered")
	}
}

// Guards against a claim that is gone with the process that made it, and against memory that strangers fill.
func TestAClaimOutlivesItsProcess(t *testing.T) {
	p := New(&config.Settings{Members: []config.Member{{Name: "m1", Endpoint: "127.0.0.1:1"}}}, clockwork.NewFakeClock(), slog.New(slog.DiscardHandler))
	if got := p.Pinged("m1", nil); got != nil {
		t.Errorf("%q is remembered of one that claimed nothing", got)
	}
	p.Pinged("m1", []byte("until five"))
	if got := p.Pinged("m1", nil); string(got) != "until five" {
		t.Errorf("%q is remembered for the next life", got)
	}
	if got := p.Pinged("m1", []byte("until six")); string(got) != "until six" {
		t.Errorf("%q is remembered, not what was said last", got)
	}
	if got := p.Pinged("stranger", []byte("x")); got != nil || len(p.claims) != 1 {
		t.Errorf("%q is remembered of a stranger", got)
	}
}
