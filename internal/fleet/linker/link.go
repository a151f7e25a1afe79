package linker

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"verbenareach/internal/wire/messenger"
)

type (
	// link is an open connection to another host, with the message that is sent next.
	link struct {
		host *messenger.FleetHost
		// ended is set once the link has ended. Linker.mu guards host and ended.
		ended bool
		// wake holds a token while a message is pending.
		wake chan struct{}

		mu      sync.Mutex
		pending *messenger.LinkMessage
	}

	// messageStream is either side of a link's stream.
	messageStream interface {
		Send(m *messenger.LinkMessage) error
		Recv() (*messenger.LinkMessage, error)
	}
)

var errLinkEnded = eris.New("link has ended")

const (
	// pingInterval is the longest time between two messages on a link. A link that receives
	// none for receiveTimeout counts as lost.
	pingInterval   = 250 * time.Millisecond
	receiveTimeout = 800 * time.Millisecond
	// writeTimeout bounds a write to another host.
	writeTimeout = time.Second
	// maxMessageBytes bounds a message between hosts.
	maxMessageBytes = 16 << 20
)

// Accept serves a link that another host opened, until it ends. It always returns an
// error, which ends the stream for both sides.
func (l *Linker) Accept(stream messenger.DRPCFleet_LinkStream) error {
	l.serve(stream.Context(), stream, nil)
	return errLinkEnded
}

// serve runs a link until it ends or nothing was received for receiveTimeout.
func (l *Linker) serve(ctx context.Context, stream messageStream, closer io.Closer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if closer != nil {
		stop := context.AfterFunc(ctx, func() { _ = closer.Close() })
		defer stop()
	}
	k := &link{wake: make(chan struct{}, 1)}
	first := &messenger.LinkMessage{Host: l.Self, Hubs: l.Hubs()}
	l.Fill(first)
	if err := stream.Send(first); err != nil {
		return
	}
	received := make(chan struct{}, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.receive(stream, k, received)
	}()
	l.send(ctx, stream, k, received, ended)
	cancel()
	if closer == nil {
		// The called side's connection ends when this function returns.
		l.unregister(k)
		return
	}
	<-ended
	l.unregister(k)
}

// send sends pending messages, and a ping whenever pingInterval passes without one. It
// returns when the link fails or nothing was received for receiveTimeout.
func (l *Linker) send(ctx context.Context, stream messageStream, k *link, received, ended <-chan struct{}) {
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-received:
			last = time.Now()
			continue
		case <-ping.C:
			if time.Since(last) > receiveTimeout {
				return
			}
		case <-k.wake:
		}
		m := k.takePending()
		l.Fill(m)
		if err := stream.Send(m); err != nil {
			return
		}
	}
}

func (l *Linker) receive(stream messageStream, k *link, received chan<- struct{}) {
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case received <- struct{}{}:
		default:
		}
		if k.host == nil && (m.Host.GetName() == "" || !l.register(k, m)) {
			return
		}
		if !l.isCurrent(k) {
			return
		}
		l.learnHubs(time.Now(), m.Hubs)
		l.Receive(k.host, m)
	}
}

// register makes the link the current one to its host, unless it has already ended.
func (l *Linker) register(k *link, m *messenger.LinkMessage) bool {
	l.mu.Lock()
	if k.ended {
		l.mu.Unlock()
		return false
	}
	k.host = m.Host
	if l.links == nil {
		l.links = make(map[string]*link)
	}
	l.links[m.Host.Name] = k
	l.mu.Unlock()
	l.LinkUp(m.Host)
	return true
}

// isCurrent reports whether the link is the current one to its host. A link that was given
// up can still deliver messages that were sent before a network partition.
func (l *Linker) isCurrent(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !k.ended && l.links[k.host.Name] == k
}

// unregister forgets a link that ended, unless a newer link to its host has replaced it.
func (l *Linker) unregister(k *link) {
	l.mu.Lock()
	k.ended = true
	host := k.host
	current := host != nil && l.links[host.Name] == k
	if current {
		delete(l.links, host.Name)
	}
	l.mu.Unlock()
	if current {
		l.LinkDown(host)
	}
}

// enqueue has add change the message that is sent next.
func (k *link) enqueue(add func(m *messenger.LinkMessage)) {
	k.mu.Lock()
	if k.pending == nil {
		k.pending = &messenger.LinkMessage{}
	}
	add(k.pending)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *link) takePending() *messenger.LinkMessage {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.pending
	k.pending = nil
	if m == nil {
		return &messenger.LinkMessage{}
	}
	return m
}

func connOptions() drpcconn.Options {
	reader := drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}
	return drpcconn.Options{Manager: drpcmanager.Options{Reader: reader}}
}
