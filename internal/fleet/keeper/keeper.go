// Package keeper keeps the fleet's configuration durably on the hubs: the highest
// version wins, and what was acknowledged is on the disks of a quorum. It takes new hubs
// into the agreement and replaces those that are gone without an operator's order.
package keeper

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"verbenareach/internal/control/replicator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// Keeper is one hub's part. Its exported fields are set before Run.
	Keeper struct {
		// Self is this hub, Folder its data folder.
		Self   *messenger.FleetHost
		Folder string
		// Founders waits for the hubs of the first start; nil at any other start.
		Founders func(ctx context.Context) ([]*messenger.FleetHost, error)
		// QuorumOf is how many voters there are at least.
		QuorumOf int
		// Candidates returns the hubs that are linked to this one now, itself left out.
		Candidates func() []*messenger.FleetHost
		// Changed is called with each configuration that came into force here, in order.
		Changed func(version uint64, packed []byte)
		Log     *logger.Logger

		mu      sync.Mutex
		version uint64
		packed  []byte
		running *replicator.Replicator
	}
)

const (
	// heartbeat and electionTimeout say how fast a lost leader is replaced.
	heartbeat       = 150 * time.Millisecond
	electionTimeout = 900 * time.Millisecond
	// handOverTimeout bounds the handing over of the leadership at a planned stop.
	handOverTimeout = time.Second
	// versionBytes is the length of the version before a command's body.
	versionBytes = 8
)

// ErrNotRunning is returned until the hub has its log.
var ErrNotRunning = errors.New("replicated log is not ready")

// Run takes part in the agreement until ctx ends.
func (k *Keeper) Run(ctx context.Context, empty bool) error {
	transport := &replicator.Transport{}
	r := &replicator.Replicator{
		Name: k.Self.Name, Address: k.Self.Address, Folder: k.Folder, Apply: k.apply, Snapshot: k.snapshot,
		Restore: k.restore, Send: transport.Send, Ask: transport.Ask, Log: k.Log,
		Heartbeat: heartbeat, ElectionTimeout: electionTimeout,
	}
	if empty && k.Founders != nil {
		founders, err := k.Founders(ctx)
		if err != nil {
			return err
		}
		for _, h := range founders {
			r.Peers = append(r.Peers, replicator.Peer{Name: h.Name, Address: h.Address})
		}
	}
	k.mu.Lock()
	k.running = r
	k.mu.Unlock()
	managing, stop := context.WithCancel(ctx)
	defer stop()
	go k.manage(managing, r)
	return errors.Join(r.Run(ctx), transport.Close())
}

// Replicator returns the hub's part in the agreement; nil until it has its log.
func (k *Keeper) Replicator() *replicator.Replicator {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.running
}

// State returns the newest configuration that is committed as far as known here.
func (k *Keeper) State() (version uint64, packed []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version, k.packed
}

// Put has a configuration committed and returns the version in force after it.
func (k *Keeper) Put(ctx context.Context, version uint64, packed []byte) (uint64, error) {
	r := k.Replicator()
	if r == nil {
		return 0, ErrNotRunning
	}
	command := binary.BigEndian.AppendUint64(nil, version)
	_, result, err := r.Submit(ctx, append(command, packed...))
	if err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(result), nil
}

// Confirmed returns the newest configuration that was acknowledged before the call.
func (k *Keeper) Confirmed(ctx context.Context) (version uint64, packed []byte, err error) {
	r := k.Replicator()
	if r == nil {
		return 0, nil, ErrNotRunning
	}
	if _, err := r.Confirm(ctx); err != nil {
		return 0, nil, err
	}
	version, packed = k.State()
	return version, packed, nil
}

// Leads returns the term in which this hub leads; 0 if it does not.
func (k *Keeper) Leads() uint64 {
	r := k.Replicator()
	if r == nil {
		return 0
	}
	s := r.Status()
	if s.Role != "leader" {
		return 0
	}
	return s.Term
}

// HandOver has another hub lead before this one stops.
func (k *Keeper) HandOver(ctx context.Context) {
	r := k.Replicator()
	if r == nil || r.Status().Role != "leader" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	// Without another hub to lead, the others elect one once this one is gone.
	_ = r.TransferLeadership(ctx)
}

func (k *Keeper) apply(_ uint64, command []byte) []byte {
	if len(command) < versionBytes {
		return make([]byte, versionBytes)
	}
	version := binary.BigEndian.Uint64(command)
	k.mu.Lock()
	newer := version > k.version
	if newer {
		k.version, k.packed = version, command[versionBytes:]
	}
	held := k.version
	k.mu.Unlock()
	if newer {
		k.Changed(version, command[versionBytes:])
	}
	return binary.BigEndian.AppendUint64(nil, held)
}

func (k *Keeper) snapshot() ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append(binary.BigEndian.AppendUint64(nil, k.version), k.packed...), nil
}

func (k *Keeper) restore(_ uint64, state []byte) error {
	if len(state) < versionBytes {
		return errors.New("snapshot of the configuration is too short")
	}
	if version := binary.BigEndian.Uint64(state); version > 0 {
		k.apply(0, state)
	}
	return nil
}
