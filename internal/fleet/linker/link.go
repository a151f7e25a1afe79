package linker

import (
	"context"
	"errors"
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
	// link is one side of an open stream to another host, with the message that is sent next.
	link struct {
		// host is the other host; nil until its first message is received. Only receive sets
		// it, under Linker.mu; other goroutines read it under Linker.mu.
		host *messenger.FleetHost
		// since is when the first message was received; it is set and read as host is.
		since time.Time
		// ended is set once the link has ended. Linker.mu guards it.
		ended bool
		// wake is signaled when a message becomes pending. A signal without a pending message
		// is harmless.
		wake chan struct{}

		// mu guards pending, the message that is sent next; nil if nothing was enqueued.
		mu      sync.Mutex
		pending *messenger.LinkMessage
	}

	// LinkEnd tells how a link ended.
	LinkEnd struct {
		// Cause is why; if both sides fail, what this host noticed first.
		Cause error
		// Up is how long the link was up.
		Up time.Duration
	}
)

var (
	errLinkEnded = eris.New("link has ended")
	errSilent    = eris.Errorf("nothing was received for %v", receiveTimeout)
	errUnnamed   = eris.New("first message names no host")
	errReplaced  = eris.New("another link to the host replaces this one")
)

const (
	// pingInterval is the longest time between two messages on a link. A link on which none
	// is received for receiveTimeout ends.
	pingInterval   = 250 * time.Millisecond
	receiveTimeout = 800 * time.Millisecond
	// writeTimeout bounds a write to another host.
	writeTimeout = time.Second
)

// Accept serves a link that another host opened, until it ends. It always returns an
// error, which ends the stream for both sides.
func (l *Linker) Accept(stream messenger.DRPCFleet_LinkStream) error {
	l.serve(stream.Context(), linkStream{stream}, nil)
	return errLinkEnded
}

// serve runs a link until it fails, ctx ends or nothing was received for receiveTimeout.
// closer closes the connection on the dialing side; it is nil on the accepting side.
func (l *Linker) serve(ctx context.Context, stream messageStream, closer io.Closer) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if closer != nil {
		stop := context.AfterFunc(ctx, func() { _ = closer.Close() })
		defer stop()
	}
	k := &link{wake: make(chan struct{}, 1)}
	first := &messenger.LinkMessage{Host: l.Self, Hubs: l.Hubs()}
	l.Fill(first)
	if err := l.transmit(stream, k, first); err != nil {
		return
	}
	received := make(chan struct{}, 1)
	receiveDone := make(chan struct{})
	go func() {
		defer close(receiveDone)
		end(l.receive(stream, k, received))
	}()
	end(l.send(ctx, stream, k, received))
	// On the accepting side Recv fails only once this function has returned, so waiting for
	// receiveDone would deadlock.
	if closer != nil {
		<-receiveDone
	}
	l.unregister(time.Now(), k, context.Cause(ctx))
}

// send sends pending messages at once and, every pingInterval, a message that may be empty
// as a ping. It returns why it stopped: the link failed, ctx ended or nothing was received for
// receiveTimeout.
func (l *Linker) send(ctx context.Context, stream messageStream, k *link, received <-chan struct{}) error {
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	lastReceived := time.Now()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-received:
			lastReceived = time.Now()
			continue
		case <-ping.C:
			if time.Since(lastReceived) > receiveTimeout {
				return errSilent
			}
		case <-k.wake:
		}
		m := k.takePending()
		l.Fill(m)
		l.tellSent(k, m)
		if err := l.transmit(stream, k, m); err != nil {
			return eris.Wrap(err, "send")
		}
	}
}

// tellSent calls Sent for a message on a link whose host is known.
func (l *Linker) tellSent(k *link, m *messenger.LinkMessage) {
	if l.Sent == nil {
		return
	}
	if host := l.hostOf(k); host != nil {
		l.Sent(host, m)
	}
}

// hostOf returns the host at the other end of a link; nil if it has not named itself yet.
func (l *Linker) hostOf(k *link) *messenger.FleetHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	return k.host
}

// receive handles the messages of a link until the stream fails or the link is replaced or
// has ended, and returns which. It signals received for each message.
func (l *Linker) receive(stream messageStream, k *link, received chan<- struct{}) error {
	for {
		m, err := stream.Recv()
		partial := new(unreadableError)
		if err != nil && !errors.As(err, &partial) {
			return eris.Wrap(err, "receive")
		}
		select {
		case received <- struct{}{}:
		default:
		}
		// The first message names the other host.
		if k.host == nil && m.Host.GetName() == "" {
			return errUnnamed
		}
		if k.host == nil && !l.register(time.Now(), k, m) {
			return errLinkEnded
		}
		if !l.isCurrent(k) {
			return errReplaced
		}
		l.tellLeftOut(k, false, partial.entries())
		l.learnHubs(time.Now(), m.Hubs)
		l.Receive(k.host, m)
	}
}

// register makes the link the current one to the host named by its first message and calls
// LinkUp. It returns false if the link has ended. A link that is replaced gets no LinkDown.
func (l *Linker) register(now time.Time, k *link, m *messenger.LinkMessage) bool {
	l.changing.Lock()
	defer l.changing.Unlock()
	l.mu.Lock()
	if k.ended {
		l.mu.Unlock()
		return false
	}
	k.host, k.since = m.Host, now
	if l.links == nil {
		l.links = make(map[string]*link)
	}
	l.links[m.Host.Name] = k
	l.mu.Unlock()
	l.LinkUp(m.Host)
	return true
}

// isCurrent reports whether the link is the current one to its host. A link that was
// replaced or has ended can still deliver late messages, for example after a network
// partition; they are ignored.
func (l *Linker) isCurrent(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !k.ended && l.links[k.host.Name] == k
}

// unregister marks a link as ended by a cause. If it is the current one to its host, it is removed
// and LinkDown is called.
func (l *Linker) unregister(now time.Time, k *link, cause error) {
	l.changing.Lock()
	defer l.changing.Unlock()
	l.mu.Lock()
	k.ended = true
	host := k.host
	current := host != nil && l.links[host.Name] == k
	if current {
		delete(l.links, host.Name)
	}
	l.mu.Unlock()
	if current {
		l.LinkDown(host, LinkEnd{Cause: cause, Up: now.Sub(k.since)})
	}
}

// enqueue calls add with the message that is sent next, under k.mu, and wakes send.
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

// takePending removes and returns the pending message, or returns an empty one.
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
