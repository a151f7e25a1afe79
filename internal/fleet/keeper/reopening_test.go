package keeper

import (
	"context"
	"testing"
)

// TestHubThatOpensItsLogAgainStaysDeaf: the other hubs' streams, which stay open, lead to the former replica.
func TestHubThatOpensItsLogAgainStaysDeaf(t *testing.T) {
	f := newTestFleet(t, "a", "b", "c")
	h := f.follower()
	knowsLeader := func() bool { return h.Replicator().Status().Leader.Name != "" }
	f.await("the hub knows the leader", knowsLeader)
	f.reopen(h)
	f.await("the hub knows the leader again", knowsLeader)
	ctx, cancel := context.WithTimeout(t.Context(), 2*electionTimeout)
	defer cancel()
	if _, _, err := h.ReadConfirmed(ctx); err != nil {
		t.Errorf("read at the hub: %v", err)
	}
}

// reopen ends a hub's log and opens it again, while the hub goes on to serve the others' connections.
func (f *testFleet) reopen(h *testHub) {
	f.t.Helper()
	h.endLog()
	former := h.Replicator()
	ctx, cancel := context.WithCancel(f.t.Context())
	stop := h.stop
	h.stop = func() {
		cancel()
		stop()
	}
	h.done.Go(func() { _ = h.Run(ctx, false) })
	f.await("the log is opened again", func() bool { return h.Replicator() != former })
}
