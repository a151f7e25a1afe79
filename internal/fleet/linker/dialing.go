package linker

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

const (
	// redialDelay is the delay before a lost link is dialed again.
	redialDelay = 150 * time.Millisecond
	// hubExpiry is how long a hub may be without a link before it is forgotten.
	hubExpiry = time.Minute
)

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
