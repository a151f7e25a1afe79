// Package linker connects the hosts of a fleet. A few hosts with disks are hubs; each host
// keeps a link to every hub and exchanges messages over it. A host finds the hubs through
// a few seeds and remembers them.
package linker

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

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
	// redialDelay is the delay before a lost link is dialed again.
	redialDelay = 150 * time.Millisecond
	// hubExpiry is how long a hub may be without a link before it is forgotten.
	hubExpiry = time.Minute
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

// dialLearned dials hubs as soon as they are learned, until ctx ends: the rounds of introductions
// wait for hosts that are lost.
func (l *Linker) dialLearned(ctx context.Context) {
	for {
		l.dialHubs(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-l.learnedSignal():
		case <-time.After(linkedIntroduceInterval):
		}
	}
}

// dialHubs starts a goroutine for each new hub to which this host dials the link, and
// forgets hubs that have not been linked for hubExpiry.
func (l *Linker) dialHubs(ctx context.Context, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, h := range l.hubs {
		if l.links[name] != nil || name == l.Self.Name {
			h.lastSeen = now
		}
		if now.Sub(h.lastSeen) > hubExpiry {
			delete(l.hubs, name)
			continue
		}
		// Between two hubs, the one with the lower name dials.
		if l.dialing[name] || name == l.Self.Name || l.Self.Hub && l.Self.Name > name {
			continue
		}
		if l.dialing == nil {
			l.dialing = make(map[string]bool)
		}
		l.dialing[name] = true
		go l.keepLink(ctx, name)
	}
}

// hubToDial returns the hub with the given name. If it is unknown, the caller must stop to keep
// the link, and hubToDial returns nil.
func (l *Linker) hubToDial(name string) *messenger.FleetHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.hubs[name]; h != nil {
		return h.host
	}
	delete(l.dialing, name)
	return nil
}

// keepLink keeps the link to a hub up until ctx ends or the hub is forgotten.
func (l *Linker) keepLink(ctx context.Context, name string) {
	failing := false
	for ctx.Err() == nil {
		host := l.hubToDial(name)
		if host == nil {
			return
		}
		err := l.dialLink(ctx, host)
		if err != nil && !failing && ctx.Err() == nil {
			l.DialFailed(host, err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// dialLink opens a link to a host and serves it until it ends. It returns an error if the
// link could not be opened.
func (l *Linker) dialLink(ctx context.Context, host *messenger.FleetHost) error {
	raw, err := dial(ctx, host.Address)
	if err != nil {
		return err
	}
	conn := drpcconn.NewWithOptions(raw, connOptions())
	defer func() { _ = conn.Close() }()
	stream, err := messenger.NewDRPCFleetClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	l.serve(ctx, linkStream{stream}, raw)
	return nil
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

func dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return dialer.WriteTimeoutConn{Conn: raw, Timeout: writeTimeout}, nil
}
