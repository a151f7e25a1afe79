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
	// link is an open connection to another host, with the news that wait to leave.
	link struct {
		host *messenger.FleetHost
		// dropped is set once the link has ended; both are guarded by Linker.mu.
		dropped bool
		// wake holds a token while news wait.
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
	// pingEvery is the longest time without a message on a link, silenceLimit the time
	// without one after which the link counts as lost.
	pingEvery    = 250 * time.Millisecond
	silenceLimit = 800 * time.Millisecond
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

// serve runs a link until it ends or falls silent.
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
	heard := make(chan struct{}, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.receive(stream, k, heard)
	}()
	l.send(ctx, stream, k, heard, ended)
	cancel()
	if closer == nil {
		// The called side's connection ends when this function returns.
		l.drop(k)
		return
	}
	<-ended
	l.drop(k)
}

// send passes news on as they come and a ping where none come. It ends when the link
// fails or nothing was heard for too long.
func (l *Linker) send(ctx context.Context, stream messageStream, k *link, heard, ended <-chan struct{}) {
	ping := time.NewTicker(pingEvery)
	defer ping.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-heard:
			last = time.Now()
			continue
		case <-ping.C:
			if time.Since(last) > silenceLimit {
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

func (l *Linker) receive(stream messageStream, k *link, heard chan<- struct{}) {
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		if k.host == nil && (m.Host.GetName() == "" || !l.join(k, m)) {
			return
		}
		if !l.current(k) {
			return
		}
		l.learnHubs(time.Now(), m.Hubs)
		l.Receive(k.host, m)
	}
}

// join makes the link the one to its host, unless it has ended already.
func (l *Linker) join(k *link, m *messenger.LinkMessage) bool {
	l.mu.Lock()
	if k.dropped {
		l.mu.Unlock()
		return false
	}
	k.host = m.Host
	if l.links == nil {
		l.links = make(map[string]*link)
	}
	l.links[m.Host.Name] = k
	l.mu.Unlock()
	l.Joined(m.Host)
	return true
}

// current tells whether the link is the one to its host: what was sent before a cut may
// arrive on a link that has been given up.
func (l *Linker) current(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !k.dropped && l.links[k.host.Name] == k
}

// drop forgets a link that ended, unless a newer one has taken its place.
func (l *Linker) drop(k *link) {
	l.mu.Lock()
	k.dropped = true
	host := k.host
	current := host != nil && l.links[host.Name] == k
	if current {
		delete(l.links, host.Name)
	}
	l.mu.Unlock()
	if current {
		l.Left(host)
	}
}

// add puts news into the message that leaves next.
func (k *link) add(add func(m *messenger.LinkMessage)) {
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
