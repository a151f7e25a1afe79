// Package linker connects the hosts of a fleet. A few hosts with disks are hubs; each host
// keeps a link to every hub and exchanges messages over it. A host finds the hubs through
// a few seeds and remembers them.
package linker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

type (
	// Linker keeps the links of one host. Its exported fields are set before Run.
	Linker struct {
		// Self is this host.
		Self *messenger.FleetHost
		// Seeds returns addresses at which other hosts may be found.
		Seeds func() []string
		// Remembered returns the addresses of hubs that this host remembers from before its start.
		// It may be nil. The seeds may know of no hub.
		Remembered func() []string
		// Bootstrap is set at the very first start of the fleet.
		Bootstrap bool
		// MinFounders is the least number of hubs that found the replicated log. After
		// minFoundersTimeout fewer are accepted.
		MinFounders int
		// Fill adds the current state of this host to a message that is about to be sent.
		Fill func(m *messenger.LinkMessage)
		// Sent is called with each message that is about to be sent to a host that has named itself.
		// The callee must not keep the message. It may be nil.
		Sent func(to *messenger.FleetHost, m *messenger.LinkMessage)
		// HubLearned is called with each hub that becomes known, or known at another address.
		HubLearned func(hub *messenger.FleetHost)
		// DialFailed is called with the first error of a series when a hub is dialed.
		DialFailed func(hub *messenger.FleetHost, err error)
		// CallSilenced is called for each connection for calls that is given up as silent; it may be nil.
		CallSilenced func(now time.Time, s dialer.Silence)
		// LeftOut is called for each message of which entries were left out.
		LeftOut func(LeftOut)
		// LinkUp is called when a link to a host is up, LinkDown once the host's last link is
		// down. A link that replaces another one gets another LinkUp.
		LinkUp   func(host *messenger.FleetHost)
		LinkDown func(host *messenger.FleetHost, end LinkEnd)
		// Receive handles a message. It is called for one message of a link at a time. While a
		// link replaces another one, the last message of the old link may still be handled.
		Receive func(from *messenger.FleetHost, m *messenger.LinkMessage)

		// pool holds the connections for calls. It is created for the first call.
		pool     *dialer.Pool
		makePool sync.Once

		// changing is held while a link becomes the current one to its host or ends, until LinkUp or
		// LinkDown has returned: so they are called in the order of the changes. It is taken before mu.
		changing sync.Mutex

		mu sync.Mutex
		// hubs holds the hubs that this host knows, by name.
		hubs map[string]*knownHub
		// dialing holds the names of the hubs to which a goroutine keeps the link. It does so
		// until the hub is forgotten.
		dialing map[string]bool
		// learned holds one item once a hub was learned, until dialHubs runs. It is created with its
		// first use.
		learned chan struct{}
		// links holds the links that are up, by the other host's name.
		links map[string]*link
		// founding is used at the first seed, which decides who founds the replicated log; other
		// hosts only store the decision.
		founding founding
	}

	knownHub struct {
		host *messenger.FleetHost
		// lastSeen is when the hub was last linked, or first named by another host.
		lastSeen time.Time
	}
)

const (
	// introduceInterval is the delay between rounds of introductions while links to hubs are
	// missing, and between requests for the founders. linkedIntroduceInterval is the delay
	// once all known hubs are linked.
	introduceInterval       = 250 * time.Millisecond
	linkedIntroduceInterval = 5 * time.Second
	// callTimeout bounds a call to another host, and the dialing of a link.
	callTimeout = 900 * time.Millisecond
)

// Run keeps the links until ctx ends.
func (l *Linker) Run(ctx context.Context) {
	defer func() { _ = l.connections().Close() }()
	if l.Self.Hub {
		l.learnHubs(time.Now(), []*messenger.FleetHost{l.Self})
	}
	var dialing sync.WaitGroup
	defer dialing.Wait()
	dialing.Go(func() { l.dialLearned(ctx) })
	for ctx.Err() == nil {
		l.introduce(ctx)
		pause := introduceInterval
		if l.allHubsLinked() {
			pause = linkedIntroduceInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Linked returns the hosts to which a link is up, first those in this host's failure domain,
// then the others, each sorted by name.
func (l *Linker) Linked() []*messenger.FleetHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*messenger.FleetHost, 0, len(l.links))
	for _, k := range l.links {
		list = append(list, k.host)
	}
	distance := func(h *messenger.FleetHost) int {
		if h.FailureDomain == l.Self.FailureDomain {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b *messenger.FleetHost) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Enqueue calls add with the message that is sent next to the named host. It returns false,
// without a call of add, if no link to that host is up.
func (l *Linker) Enqueue(name string, add func(m *messenger.LinkMessage)) bool {
	l.mu.Lock()
	k := l.links[name]
	l.mu.Unlock()
	if k == nil {
		return false
	}
	k.enqueue(add)
	return true
}

// EnqueueAll calls add with the message that is sent next to each linked host, except the
// named one.
func (l *Linker) EnqueueAll(except string, add func(m *messenger.LinkMessage)) {
	l.EnqueueWhere(func(to *messenger.FleetHost) bool { return to.Name != except }, add)
}

// EnqueueWhere calls add with the message that is sent next to each linked host that includes
// returns true for.
func (l *Linker) EnqueueWhere(includes func(to *messenger.FleetHost) bool, add func(m *messenger.LinkMessage)) {
	l.mu.Lock()
	links := make([]*link, 0, len(l.links))
	for _, k := range l.links {
		if includes(k.host) {
			links = append(links, k)
		}
	}
	l.mu.Unlock()
	for _, k := range links {
		k.enqueue(add)
	}
}

// Call calls the Fleet service of the host at address, within callTimeout.
func (l *Linker) Call(ctx context.Context, address string, call func(ctx context.Context, c messenger.DRPCFleetClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := l.connections().Conn(ctx, address)
	err := call(ctx, messenger.NewDRPCFleetClient(conn))
	if closeErr := conn.Close(); err == nil {
		err = closeErr
	}
	return err
}

// connections returns the pool of connections for calls.
func (l *Linker) connections() *dialer.Pool {
	l.makePool.Do(func() {
		l.pool = dialer.New()
		l.pool.Silenced = l.CallSilenced
	})
	return l.pool
}
