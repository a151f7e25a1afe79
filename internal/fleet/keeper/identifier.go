package keeper

import (
	"context"
	"sync"
	"time"

	"verbenareach/internal/control/replicator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// identifier asks linked hubs for the identities of their data folders, each in the
	// background: a hub that does not answer delays no other one. Its exported fields are set
	// before its use.
	identifier struct {
		Ask func(ctx context.Context, host replicator.Peer) (replicator.Identity, error)
		Log *logger.Logger

		mu sync.Mutex
		// answers holds what is known of each hub, by name.
		answers map[string]*answer
	}

	// answer is what is known of one hub.
	answer struct {
		// identity is what it answered at receivedAt; receivedAt is zero if it did not answer.
		identity   replicator.Identity
		receivedAt time.Time
		// asking is set while it is being asked, failing once it failed to answer, until it does.
		asking, failing bool
	}
)

const (
	// identifyTimeout bounds the wait for a hub's identity.
	identifyTimeout = 900 * time.Millisecond
	// identityValidity is how long an answer is used. A hub may lose its disk after it.
	identityValidity = time.Second
)

// identify returns the identity that a hub has answered lately, and asks for it if there is none.
func (i *identifier) identify(ctx context.Context, now time.Time, host *messenger.FleetHost) (identity replicator.Identity, known bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.answers == nil {
		i.answers = make(map[string]*answer)
	}
	a := i.answers[host.Name]
	if a == nil {
		a = &answer{}
		i.answers[host.Name] = a
	}
	fresh := !a.receivedAt.IsZero() && now.Sub(a.receivedAt) < identityValidity
	if fresh && a.identity.Address == host.Address {
		return a.identity, true
	}
	if !a.asking {
		a.asking = true
		go i.ask(ctx, replicator.Peer{Name: host.Name, Address: host.Address}, a)
	}
	return replicator.Identity{}, false
}

// ask asks a hub for its identity and stores the answer.
func (i *identifier) ask(ctx context.Context, host replicator.Peer, a *answer) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	identity, err := i.Ask(ctx, host)
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	a.asking = false
	if err != nil {
		if !a.failing {
			i.Log.Emit(now, logger.FleetIdentifyFailed, "", logger.F("host", host.Name), logger.F("error", err))
		}
		a.failing = true
		return
	}
	a.identity, a.receivedAt, a.failing = identity, now, false
}
