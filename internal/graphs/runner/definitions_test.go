package runner

import (
	"net/http"
	"testing"

	"poppypass/internal/platform/tuning"
	"poppypass/internal/platform/wire"
)

// Guards against uploads that are never registered and stay stored forever, and against the registration of a
// definition while its parts are about to be deleted.
func TestUnregisteredUploadsAreDeleted(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	h.settle() // the first cleanUp starts the interval until the next listing
	plan := newPlan(t, step("s"))
	cmd := h.upload(plan)
	h.clock.Advance(tuning.GraphDeleteAfter)
	h.graphs.Tick(h.clock.Now())
	h.runLoopFunc() // the listing has found the definition
	for range 2 {
		h.clock.Advance(tuning.GraphDeleteAfter)
		h.graphs.Tick(h.clock.Now())
	}
	if !h.graphs.isBeingDeleted(cmd.Def) {
		t.Fatal("the unregistered definition is not being deleted")
	}
	if a := h.send(CommandRegister, cmd); a.status != http.StatusServiceUnavailable {
		t.Errorf("registering a definition whose parts are about to be deleted: %+v, want 503", a)
	}
	h.settle()
	if left := h.list(PrefixDefinition); len(left) != 0 {
		t.Errorf("%d parts are left, want none", len(left))
	}
	if a := h.register(plan); a.status != http.StatusCreated {
		t.Errorf("registering the definition after its deletion: %+v", a)
	}
}

// A stored definition that does not match its hash is deleted, so that it does not block a valid one with that hash. A
// definition of one team cannot be registered by another.
func TestCorruptDefinitionIsDeleted(t *testing.T) {
	h := newHarness(t)
	defer h.close()
	plan := newPlan(t, step("s"))
	cmd := h.upload(plan)
	h.sendAndSettle(CommandRegister, Command{Def: "x", Parts: 1}, http.StatusBadRequest)
	key := partKeys(cmd.Def, 1)[0]
	h.commit(wire.Txn{Then: []wire.Change{{Put: key, Value: []byte(`{"parts":1,"z":"AAAA"}`)}}})
	a := h.send(CommandRegister, cmd)
	h.runLoopFunc()
	h.settle()
	if _, exists := h.state.Value(key); a.status != http.StatusBadRequest || exists {
		t.Errorf("registering a corrupt definition: %+v, want 400; still stored: %v", a, exists)
	}
	a = h.send(CommandRegister, cmd)
	h.runLoopFunc()
	if h.settle(); a.status != http.StatusConflict {
		t.Errorf("registering the deleted definition without an upload: %+v, want 409", a)
	}
	if a := h.register(plan); a.status != http.StatusCreated {
		t.Errorf("registering the definition after another upload: %+v", a)
	}
	other := h.upload(plan)
	other.Team = "others"
	if a := h.send(CommandRegister, other); a.status != http.StatusForbidden {
		t.Errorf("registering the definition of another team: %+v, want 403", a)
	}
}
