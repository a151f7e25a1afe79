package keeper

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"verbenareach/internal/fleet/evacuator"
	"verbenareach/internal/wire/messenger"
)

// Evacuate proposes to evacuate a failure domain, or to end that, waits for the commit and returns
// the evacuations then in force. A request that changes nothing is committed all the same: what this
// hub knows may be older than what was acknowledged. Before Run has created the replica, it returns
// ErrNotRunning.
func (k *Keeper) Evacuate(ctx context.Context, req *messenger.EvacuateRequest) (*evacuator.Set, error) {
	r := k.Replicator()
	if r == nil {
		return nil, ErrNotRunning
	}
	encoded, err := proto.Marshal(req)
	if err != nil {
		return nil, eris.Wrap(err, "encode evacuation")
	}
	_, result, err := r.Submit(ctx, append(make([]byte, versionBytes), encoded...))
	if err != nil {
		return nil, err
	}
	held := new(messenger.Evacuations)
	if err := proto.Unmarshal(result, held); err != nil {
		return nil, eris.Wrap(err, "decode evacuations")
	}
	return evacuator.Decode(held), nil
}

// applyEvacuation applies a committed change of the evacuations and returns the encoded ones then in
// force; version 0, as a program without evacuations does, if the change can't be read.
func (k *Keeper) applyEvacuation(command []byte) []byte {
	req := new(messenger.EvacuateRequest)
	if err := proto.Unmarshal(command, req); err != nil || req.FailureDomain == "" {
		return make([]byte, versionBytes)
	}
	k.mu.Lock()
	before := k.evacuations
	k.mu.Unlock()
	after := before.Apply(req)
	k.adoptEvacuations(after)
	result, err := proto.Marshal(after.Message())
	if err != nil {
		return make([]byte, versionBytes)
	}
	return result
}

// adoptEvacuations puts a revision of the evacuations in force if it is higher than the present one.
func (k *Keeper) adoptEvacuations(after *evacuator.Set) {
	k.mu.Lock()
	newer := after.Revision() > k.evacuations.Revision()
	if newer {
		k.evacuations = after
	}
	k.mu.Unlock()
	if newer {
		k.OnEvacuations(after)
	}
}

// storedState returns the state as a snapshot holds it. The lock is held.
func (k *Keeper) storedState() ([]byte, error) {
	encoded, err := proto.Marshal(&messenger.StoredState{
		Version: k.version, Configuration: k.encoded, Evacuations: k.evacuations.Message(),
	})
	return append(make([]byte, versionBytes), encoded...), err
}

// restoreState puts the state of a snapshot in force.
func (k *Keeper) restoreState(encoded []byte) error {
	state := new(messenger.StoredState)
	if err := proto.Unmarshal(encoded, state); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	if state.Version > 0 {
		k.adopt(state.Version, state.Configuration)
	}
	k.restoreEvacuations(evacuator.Decode(state.Evacuations))
	return nil
}

// restoreEvacuations replaces the evacuations by those of a snapshot; nil for none.
func (k *Keeper) restoreEvacuations(restored *evacuator.Set) {
	k.mu.Lock()
	k.evacuations = restored
	k.mu.Unlock()
	if restored.Revision() > 0 {
		k.OnEvacuations(restored)
	}
}
