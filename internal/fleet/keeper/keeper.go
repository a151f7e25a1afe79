// Package keeper replicates the fleet's configuration and its evacuations between the hubs, in one
// order: the highest version and the highest revision are in force, and what is acknowledged is on
// the disks of a quorum. The leader adds new hubs to the membership and removes those that stay silent,
// without an operator's command.
package keeper

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"verbenareach/internal/control/replicator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/evacuator"
	"verbenareach/internal/wire/messenger"
)

type (
	// Keeper is the replica of one hub. Its exported fields are set before Run.
	Keeper struct {
		// Self is this hub, Folder its data folder.
		Self   *messenger.FleetHost
		Folder string
		// Founders waits for the hubs that form the first membership, and returns them; it is nil
		// except at the first start.
		Founders func(ctx context.Context) ([]*messenger.FleetHost, error)
		// MinVoters is the least number of voters: removals don't go below it.
		MinVoters int
		// Candidates returns the other hubs that are linked to this one now.
		Candidates func() []*messenger.FleetHost
		// OnChange is called with each configuration that comes into force here, in order.
		OnChange func(version uint64, encoded []byte)
		// OnEvacuations is called with each revision of the evacuations that is applied here, in order.
		// If Run is called again, it is called again with those that the log holds.
		OnEvacuations func(evacuations *evacuator.Set)
		Log           *logger.Logger

		// founders holds what Founders has returned. Run may be called again after the log failed,
		// when no other hub may know them any more.
		founders []*messenger.FleetHost

		mu sync.Mutex
		// version and encoded are the newest committed configuration that was applied here;
		// version is 0 if there is none.
		version uint64
		encoded []byte
		// evacuations are those of the newest committed command that the replica has applied; nil if
		// there is none. Each hub has the same ones after the same command.
		evacuations *evacuator.Set
		// replica and transport, which carries its messages, are nil until Run has created them.
		replica   *replicator.Replicator
		transport *replicator.Transport
	}
)

const (
	// heartbeat and electionTimeout determine how fast a lost leader is replaced.
	heartbeat       = 150 * time.Millisecond
	electionTimeout = 900 * time.Millisecond
	// transferTimeout bounds the transfer of the leadership before a planned stop.
	transferTimeout = time.Second
	// versionBytes is the length of the version at the start of a command or a snapshot. The
	// encoded configuration follows it. After version 0, which no configuration has, a command holds
	// a messenger.EvacuateRequest and a snapshot a messenger.StoredState.
	versionBytes = 8
)

// ErrNotRunning is returned before Run has created the replica.
var ErrNotRunning = errors.New("replicated log is not ready")

// Run runs the replica until ctx ends. If empty is set, as at the first start, the hubs from
// Founders are the peers of the new membership.
func (k *Keeper) Run(ctx context.Context, empty bool) error {
	transport := &replicator.Transport{Log: k.Log}
	r := &replicator.Replicator{
		Name: k.Self.Name, Address: k.Self.Address, Folder: k.Folder, Apply: k.apply, Snapshot: k.snapshot,
		Restore: k.restore, Send: transport.Send, Ask: transport.Ask, Log: k.Log,
		Heartbeat: heartbeat, ElectionTimeout: electionTimeout,
	}
	if empty && k.Founders != nil && len(k.founders) == 0 {
		founders, err := k.Founders(ctx)
		if err != nil {
			return err
		}
		k.founders = founders
	}
	for _, h := range k.founders {
		r.Peers = append(r.Peers, replicator.Peer{Name: h.Name, Address: h.Address})
	}
	k.mu.Lock()
	k.replica, k.transport = r, transport
	// The replica applies what its log holds once more.
	k.evacuations = nil
	k.mu.Unlock()
	managing, stop := context.WithCancel(ctx)
	defer stop()
	go k.manage(managing, r)
	return errors.Join(r.Run(ctx), transport.Close())
}

// Replicator returns the hub's replica of the log; nil until Run has created it.
func (k *Keeper) Replicator() *replicator.Replicator {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica
}

// Service returns the service that answers the other hubs; nil until Run has created the replica.
func (k *Keeper) Service() *replicator.Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.replica == nil {
		return nil
	}
	return &replicator.Service{Replicator: k.replica, Transport: k.transport}
}

// State returns the newest committed configuration that this hub has applied.
func (k *Keeper) State() (version uint64, encoded []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version, k.encoded
}

// Put proposes a configuration, waits for its commit and returns the version then in force,
// which is higher than the proposed one if a newer one was in force. Before Run has created the
// replica, it returns ErrNotRunning.
func (k *Keeper) Put(ctx context.Context, version uint64, encoded []byte) (uint64, error) {
	r := k.Replicator()
	if r == nil {
		return 0, ErrNotRunning
	}
	command := binary.BigEndian.AppendUint64(nil, version)
	_, result, err := r.Submit(ctx, append(command, encoded...))
	if err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(result), nil
}

// ReadConfirmed returns a configuration at least as new as any acknowledged before the call. It
// is a quorum read. Before Run has created the replica, it returns ErrNotRunning.
func (k *Keeper) ReadConfirmed(ctx context.Context) (version uint64, encoded []byte, err error) {
	r := k.Replicator()
	if r == nil {
		return 0, nil, ErrNotRunning
	}
	if _, err := r.Confirm(ctx); err != nil {
		return 0, nil, err
	}
	version, encoded = k.State()
	return version, encoded, nil
}

// MemberAddresses returns the addresses of the hubs that are members, as this hub's disk has them;
// none before Run has created the replica.
func (k *Keeper) MemberAddresses() []string {
	r := k.Replicator()
	if r == nil {
		return nil
	}
	var addresses []string
	for _, m := range r.Status().Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// LeaderTerm returns the term in which this hub leads; 0 if it does not.
func (k *Keeper) LeaderTerm() uint64 {
	r := k.Replicator()
	if r == nil {
		return 0
	}
	s := r.Status()
	// The role stays what it was when the log ended.
	if s.Role != "leader" || s.ID == "" {
		return 0
	}
	return s.Term
}

// Voters returns how many hubs vote, and how many of them answer this hub, itself included; 0 if it
// does not lead.
func (k *Keeper) Voters() (voters, answering int) {
	r := k.Replicator()
	if r == nil {
		return 0, 0
	}
	s := r.Status()
	if s.Role != "leader" {
		return 0, 0
	}
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		voters++
		if m.Alive {
			answering++
		}
	}
	return voters, answering
}

// TransferLeadership transfers the leadership to another hub, if this one leads.
func (k *Keeper) TransferLeadership(ctx context.Context) {
	r := k.Replicator()
	if r == nil || r.Status().Role != "leader" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	// If the transfer fails, the others elect a leader once this hub has stopped.
	_ = r.TransferLeadership(ctx)
}

// apply applies a committed command. It returns the version of the configuration then in force, or
// the evacuations then in force; version 0 for a command that is too short.
func (k *Keeper) apply(_ uint64, command []byte) []byte {
	if len(command) < versionBytes {
		return make([]byte, versionBytes)
	}
	version := binary.BigEndian.Uint64(command)
	if version == 0 {
		return k.applyEvacuation(command[versionBytes:])
	}
	return binary.BigEndian.AppendUint64(nil, k.adopt(version, command[versionBytes:]))
}

// adopt puts a committed configuration in force if its version is higher than the present one, and
// returns the version then in force.
func (k *Keeper) adopt(version uint64, encoded []byte) uint64 {
	k.mu.Lock()
	newer := version > k.version
	if newer {
		k.version, k.encoded = version, encoded
	}
	held := k.version
	k.mu.Unlock()
	if newer {
		k.OnChange(version, encoded)
	}
	return held
}

// snapshot returns the state in the format that programs without evacuations read as well, as long
// as none was ordered.
func (k *Keeper) snapshot() ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.evacuations.Revision() > 0 {
		return k.storedState()
	}
	return append(binary.BigEndian.AppendUint64(nil, k.version), k.encoded...), nil
}

func (k *Keeper) restore(_ uint64, state []byte) error {
	if len(state) < versionBytes {
		return errors.New("snapshot of the configuration is too short")
	}
	version := binary.BigEndian.Uint64(state)
	if version == 0 {
		return k.restoreState(state[versionBytes:])
	}
	k.adopt(version, state[versionBytes:])
	k.restoreEvacuations(nil)
	return nil
}
