package linker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"verbenareach/internal/wire/messenger"
)

// Hubs returns the hubs that this host knows, sorted by name.
func (l *Linker) Hubs() []*messenger.FleetHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*messenger.FleetHost, 0, len(l.hubs))
	for _, h := range l.hubs {
		list = append(list, h.host)
	}
	slices.SortFunc(list, func(a, b *messenger.FleetHost) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// HandleIntroduction answers an introduction, which may be this host's own. It remembers the
// host if it is a hub, and tells the linked hosts of a new one. The reply names the founders
// only to a bootstrapping host, and only once they are decided.
func (l *Linker) HandleIntroduction(now time.Time, req *messenger.IntroduceRequest) *messenger.IntroduceReply {
	if learned := l.learnHubs(now, []*messenger.FleetHost{req.Host}); len(learned) > 0 {
		l.EnqueueAll(req.Host.Name, func(m *messenger.LinkMessage) { m.Hubs = append(m.Hubs, learned...) })
	}
	reply := &messenger.IntroduceReply{Hubs: l.Hubs()}
	if !req.Bootstrap {
		return reply
	}
	if l.decidesFounders() {
		l.addCandidate(now, req.Host)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Founders = l.founding.founders
	return reply
}

// introduce sends an introduction of this host to the seeds and to all known and remembered hubs.
func (l *Linker) introduce(ctx context.Context) {
	addresses := l.sortedSeeds()
	if l.Remembered != nil {
		addresses = append(addresses, l.Remembered()...)
	}
	for _, h := range l.Hubs() {
		addresses = append(addresses, h.Address)
	}
	slices.Sort(addresses)
	var wg sync.WaitGroup
	for _, address := range slices.Compact(addresses) {
		if address == l.Self.Address {
			continue
		}
		wg.Go(func() {
			// A host that does not respond is called again in the next round.
			_ = l.Call(ctx, address, func(ctx context.Context, c messenger.DRPCFleetClient) error {
				reply, err := c.Introduce(ctx, &messenger.IntroduceRequest{Host: l.Self, Bootstrap: l.Bootstrap})
				l.learnHubs(time.Now(), reply.GetHubs())
				return err
			})
		})
	}
	wg.Wait()
}

// learnHubs adds the hubs among the given hosts, has them dialed and returns those that are new
// or have another address. What is known of a hub is replaced by what was received last.
func (l *Linker) learnHubs(now time.Time, hubs []*messenger.FleetHost) []*messenger.FleetHost {
	learned := l.recordHubs(now, hubs)
	for _, h := range learned {
		l.HubLearned(h)
	}
	if len(learned) > 0 {
		select {
		case l.learnedSignal() <- struct{}{}:
		default:
		}
	}
	return learned
}

// learnedSignal returns the channel that holds one item once a hub was learned.
func (l *Linker) learnedSignal() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learned == nil {
		l.learned = make(chan struct{}, 1)
	}
	return l.learned
}

// recordHubs records the hubs among the given hosts, and returns those that are new or have
// another address.
func (l *Linker) recordHubs(now time.Time, hubs []*messenger.FleetHost) (learned []*messenger.FleetHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hubs == nil {
		l.hubs = make(map[string]*knownHub)
	}
	for _, h := range hubs {
		if !h.GetHub() || h.Name == "" {
			continue
		}
		known := l.hubs[h.Name]
		if known == nil {
			known = &knownHub{lastSeen: now}
			l.hubs[h.Name] = known
		}
		if known.host.GetAddress() != h.Address {
			learned = append(learned, h)
		}
		known.host = h
	}
	return learned
}

// allHubsLinked reports whether a host is linked and so are all known hubs other than this host.
// A hub that knows only itself may have started before the hosts that could name others.
func (l *Linker) allHubsLinked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.hubs {
		if name != l.Self.Name && l.links[name] == nil {
			return false
		}
	}
	return len(l.links) > 0
}

// sortedSeeds returns the seeds in the order that all hosts share.
func (l *Linker) sortedSeeds() []string {
	seeds := slices.Clone(l.Seeds())
	slices.Sort(seeds)
	return seeds
}
