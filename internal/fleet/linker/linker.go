// Package linker connects the hosts of a fleet. A few hosts with disks are hubs; each
// host keeps a link to every hub and passes news over it. A host finds the hubs through
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
	// Linker is one host's part in the fleet. Its exported fields are set before Run.
	Linker struct {
		// Self is this host.
		Self *messenger.FleetHost
		// Seeds returns addresses at which other hosts may be found.
		Seeds func() []string
		// Bootstrap is set at the very first start of the fleet.
		Bootstrap bool
		// Founders is how many hubs found the replicated log at least.
		Founders int
		// Fill adds what this host tells of itself to a message that is about to leave.
		Fill func(m *messenger.LinkMessage)
		// Joined is called when a link to a host is up, Left once it is down.
		Joined func(host *messenger.FleetHost)
		Left   func(host *messenger.FleetHost)
		// Receive takes a message; those of one host come one after the other.
		Receive func(from *messenger.FleetHost, m *messenger.LinkMessage)

		// pool holds the connections for calls, made when the first one is needed.
		pool     *dialer.Pool
		makePool sync.Once

		mu sync.Mutex
		// hubs holds the hubs that this host knows, by name.
		hubs map[string]*knownHub
		// links holds the links that are up, by the other host's name.
		links map[string]*link
		// gathering is the list of founders in the making; only at the first seed.
		gathering gathering
	}

	knownHub struct {
		host *messenger.FleetHost
		// dialing is set while a goroutine keeps the link to it.
		dialing bool
		// heard is when the hub was last linked or named by another host.
		heard time.Time
	}

	gathering struct {
		hosts   map[string]*messenger.FleetHost
		newest  time.Time
		started time.Time
		decided []*messenger.FleetHost
	}
)

const (
	// introduceEvery is the pause between rounds of introductions while hubs are
	// missing, searchEvery that while all is well.
	introduceEvery = 250 * time.Millisecond
	searchEvery    = 5 * time.Second
	// callTimeout bounds a call to another host.
	callTimeout = 900 * time.Millisecond
	// redialPause is the wait before a lost link is dialed again.
	redialPause = 150 * time.Millisecond
	// forgetHub is how long a hub that no one names any more is still dialed.
	forgetHub = time.Minute
	// settleFounders is how long no further hub may have come before the founders are decided.
	settleFounders = 500 * time.Millisecond
	// fewFounders is how long to wait for enough founders before fewer are taken.
	fewFounders = 6 * time.Second
)

// Run keeps the links until ctx ends.
func (l *Linker) Run(ctx context.Context) {
	defer func() { _ = l.connections().Close() }()
	if l.Self.Hub {
		l.learnHubs(time.Now(), []*messenger.FleetHost{l.Self})
	}
	for ctx.Err() == nil {
		l.introduce(ctx)
		l.dialHubs(ctx, time.Now())
		pause := introduceEvery
		if l.connected() {
			pause = searchEvery
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

// Linked returns the hosts to which a link is up, nearest failure domain first.
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

// Tell adds news to what goes to one host next. It tells whether a link to it is up.
func (l *Linker) Tell(name string, add func(m *messenger.LinkMessage)) bool {
	l.mu.Lock()
	k := l.links[name]
	l.mu.Unlock()
	if k == nil {
		return false
	}
	k.add(add)
	return true
}

// TellAll adds news to what goes to every linked host next, but for the one named except.
func (l *Linker) TellAll(except string, add func(m *messenger.LinkMessage)) {
	l.mu.Lock()
	links := make([]*link, 0, len(l.links))
	for name, k := range l.links {
		if name != except {
			links = append(links, k)
		}
	}
	l.mu.Unlock()
	for _, k := range links {
		k.add(add)
	}
}

// Call calls a host's services.
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
	l.makePool.Do(func() { l.pool = dialer.New() })
	return l.pool
}

// Introduced takes another host's introduction.
func (l *Linker) Introduced(now time.Time, req *messenger.IntroduceRequest) *messenger.IntroduceReply {
	if req.Host.GetHub() {
		l.learnHubs(now, []*messenger.FleetHost{req.Host})
	}
	reply := &messenger.IntroduceReply{Hubs: l.Hubs()}
	if !req.Bootstrap {
		return reply
	}
	if l.decides() {
		l.gather(now, req.Host)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reply.Founders = l.gathering.decided
	return reply
}

// AwaitFounders returns the hubs that found the log at the first start of the fleet.
func (l *Linker) AwaitFounders(ctx context.Context) ([]*messenger.FleetHost, error) {
	for {
		founders := l.askFounders(ctx)
		if len(founders) > 0 {
			return founders, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(introduceEvery):
		}
	}
}

// askFounders asks the host that decides on the founders.
func (l *Linker) askFounders(ctx context.Context) (founders []*messenger.FleetHost) {
	req := &messenger.IntroduceRequest{Host: l.Self, Bootstrap: l.Bootstrap}
	if l.decides() {
		return l.Introduced(time.Now(), req).Founders
	}
	// The first seed decides; the others pass on what it told them, should it be gone.
	for _, seed := range l.sortedSeeds() {
		// A seed that does not answer yet is asked again.
		_ = l.Call(ctx, seed, func(ctx context.Context, c messenger.DRPCFleetClient) error {
			reply, err := c.Introduce(ctx, req)
			founders = reply.GetFounders()
			return err
		})
		if len(founders) > 0 {
			l.mu.Lock()
			l.gathering.decided = founders
			l.mu.Unlock()
			return founders
		}
	}
	return nil
}

// decides tells whether this host decides who founds the log: the first seed does.
func (l *Linker) decides() bool {
	seeds := l.sortedSeeds()
	return l.Bootstrap && len(seeds) > 0 && seeds[0] == l.Self.Address
}

// gather takes a host into the founders in the making and decides on them when it is time.
func (l *Linker) gather(now time.Time, host *messenger.FleetHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := &l.gathering
	if len(g.decided) > 0 {
		return
	}
	if g.hosts == nil {
		g.hosts, g.started, g.newest = make(map[string]*messenger.FleetHost), now, now
	}
	if host.Hub && g.hosts[host.Name] == nil {
		g.hosts[host.Name] = host
		g.newest = now
	}
	enough := len(g.hosts) >= l.Founders || now.Sub(g.started) > fewFounders
	if len(g.hosts) == 0 || !enough || now.Sub(g.newest) < settleFounders {
		return
	}
	for _, h := range g.hosts {
		g.decided = append(g.decided, h)
	}
	slices.SortFunc(g.decided, func(a, b *messenger.FleetHost) int { return cmp.Compare(a.Name, b.Name) })
}

// introduce tells hosts that may know hubs of this one.
func (l *Linker) introduce(ctx context.Context) {
	addresses := l.sortedSeeds()
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
			// A host that does not answer is asked again in the next round.
			_ = l.Call(ctx, address, func(ctx context.Context, c messenger.DRPCFleetClient) error {
				reply, err := c.Introduce(ctx, &messenger.IntroduceRequest{Host: l.Self, Bootstrap: l.Bootstrap})
				l.learnHubs(time.Now(), reply.GetHubs())
				return err
			})
		})
	}
	wg.Wait()
}

// learnHubs takes in hubs that another host named. A name that moved to another address
// belongs to the host that says so itself.
func (l *Linker) learnHubs(now time.Time, hubs []*messenger.FleetHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hubs == nil {
		l.hubs = make(map[string]*knownHub)
	}
	for _, h := range hubs {
		if !h.Hub || h.Name == "" {
			continue
		}
		if known := l.hubs[h.Name]; known != nil {
			known.host = h
			continue
		}
		l.hubs[h.Name] = &knownHub{host: h, heard: now}
	}
}

// dialHubs starts a goroutine for each hub to which this host keeps the link, and
// forgets hubs that have been away for long.
func (l *Linker) dialHubs(ctx context.Context, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, h := range l.hubs {
		if l.links[name] != nil || name == l.Self.Name {
			h.heard = now
		}
		if now.Sub(h.heard) > forgetHub {
			delete(l.hubs, name)
			continue
		}
		// Of two hubs the one with the lower name dials.
		if h.dialing || name == l.Self.Name || l.Self.Hub && l.Self.Name > name {
			continue
		}
		h.dialing = true
		go l.keepLink(ctx, name)
	}
}

// hub returns a hub that this host knows; nil if it does not.
func (l *Linker) hub(name string) *messenger.FleetHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.hubs[name]; h != nil {
		return h.host
	}
	return nil
}

// keepLink keeps the link to a hub up until ctx ends or the hub is forgotten.
func (l *Linker) keepLink(ctx context.Context, name string) {
	for ctx.Err() == nil {
		host := l.hub(name)
		if host == nil {
			return
		}
		l.dialLink(ctx, host)
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

func (l *Linker) dialLink(ctx context.Context, host *messenger.FleetHost) {
	raw, err := dial(ctx, host.Address)
	if err != nil {
		return
	}
	conn := drpcconn.NewWithOptions(raw, connOptions())
	defer func() { _ = conn.Close() }()
	stream, err := messenger.NewDRPCFleetClient(conn).Link(ctx)
	if err != nil {
		return
	}
	l.serve(ctx, stream, raw)
}

// connected tells whether every known hub is linked and there is one at least.
func (l *Linker) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.hubs {
		if name != l.Self.Name && l.links[name] == nil {
			return false
		}
	}
	return len(l.hubs) > 0
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
	return dialer.TimedConn{Conn: raw, Timeout: writeTimeout}, nil
}
