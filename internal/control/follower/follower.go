// Package follower keeps an entry or agent informed of the agreed state. It
// follows one control host at a time, and leaves one that is silent or behind.
//
// Use: set the exported fields, then call Run in a goroutine of its own. View
// is cheap and never blocks; Changed tells when to look again; Fresh tells
// whether a quorum has confirmed the view lately. An agent opens its gate only
// while Fresh is true and Superseded is false, and obeys View().Mark(name).
package follower

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/pauser"
)

type (
	// Follower holds what one entry or agent knows of the agreed state. Its
	// exported fields are set before Run. All methods are safe for use by
	// several goroutines.
	Follower struct {
		// Addresses are the IP numbers and ports of all control hosts.
		Addresses []string
		// Self describes this process. An Incarnation of 0 is set from the clock
		// by Run; see Member for the one in use.
		Self registrar.Member
		// Log receives the events; nil for none.
		Log *logger.Logger
		// RelayMark passes a mark on to the agent at address, for a control host
		// that can't reach it. Nil uses the agent's drpc service directly.
		RelayMark func(ctx context.Context, address string, m *messenger.MarkRequest) (*messenger.MarkReply, error)
		// HeartbeatEvery is the time between heartbeats; 0 for 1 s.
		HeartbeatEvery time.Duration
		// StaleAfter is how long a control host may go without a mark of
		// freshness before it is left; 0 for 3 s.
		StaleAfter time.Duration
		// FreshFor is how long a mark of freshness counts; 0 for 6 s.
		FreshFor time.Duration

		once sync.Once
		view atomic.Pointer[registrar.View]
		// loads by member ordinal.
		loads atomic.Pointer[map[uint32]uint32]
		pool  *dialer.Pool
		// traffic counts the bytes between this process and control.
		traffic traffic

		mu sync.Mutex
		// changed is closed and replaced when the view has changed.
		changed chan struct{}
		// kick holds one item if the connection has something to send.
		kick chan struct{}
		// self is Self as last set; described counts its changes.
		self      registrar.Member
		described uint64
		report    *messenger.Report
		reported  uint64
		relayed   []*messenger.RelayedMark
		// freshAt is when the newest heartbeat that a quorum confirmed was sent.
		freshAt time.Time
		// settled is closed once control has accepted this incarnation, which
		// announced tells as well.
		settled    chan struct{}
		announced  bool
		superseded bool
		// current is the address of the control host that is followed.
		current string
	}
)

const (
	defaultHeartbeat  = time.Second
	defaultStaleAfter = 3 * time.Second
	defaultFreshFor   = 6 * time.Second
	dialTimeout       = 2 * time.Second
	// stallTimeout bounds one write to a control host.
	stallTimeout = 3 * time.Second
	// firstRetry and maxRetry bound the wait after a round of failed hosts.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// Changed returns a channel that is closed when the view changes next. Take it
// before View, so that no change is missed.
func (f *Follower) Changed() <-chan struct{} {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Fresh tells whether a quorum has confirmed the view within FreshFor before now.
func (f *Follower) Fresh(now time.Time) bool {
	at := f.FreshAt()
	return !at.IsZero() && now.Sub(at) <= f.freshFor()
}

// FreshAt returns the time up to which all changes committed are in the view,
// as confirmed by a quorum; the zero time before the first confirmation.
func (f *Follower) FreshAt() time.Time {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshAt
}

// Load returns the newest load that an agent reported, in the units of
// UnpackLoad, by its member name. Only entries learn of loads.
func (f *Follower) Load(server string) (Load, bool) {
	m, ok := f.View().Member(server)
	loads := f.loads.Load()
	if !ok || loads == nil {
		return Load{}, false
	}
	packed, ok := (*loads)[m.Ordinal]
	return UnpackLoad(packed), ok
}

// Member returns the description of this process as control knows it or will
// know it, with the incarnation in use.
func (f *Follower) Member() registrar.Member {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// Run follows control hosts until ctx ends. Then it says goodbye, so that this
// process is removed from the members at once: end ctx only when no work is left.
func (f *Follower) Run(ctx context.Context) (err error) {
	f.init()
	defer func() { err = errors.Join(err, f.pool.Close()) }()
	next := f.start()
	wait := firstRetry
	for failed := 0; ctx.Err() == nil; {
		address := f.Addresses[next%len(f.Addresses)]
		next++
		began := time.Now()
		cause := f.follow(ctx, address)
		if ctx.Err() != nil {
			return nil
		}
		f.Log.Emit(time.Now(), logger.ControlLeft, "", logger.F("address", address), logger.F("cause", cause))
		if time.Since(began) > 2*f.staleAfter() {
			failed, wait = 0, firstRetry
			continue
		}
		if failed++; failed%len(f.Addresses) == 0 {
			pauser.Pause(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxRetry)
		}
	}
	return nil
}

// SetReport tells control of the work behind an agent, if it has changed. It is
// sent at once if the mark changed, else with the next heartbeat.
func (f *Follower) SetReport(r *messenger.Report) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.report
	if proto.Equal(old, r) {
		return
	}
	f.report = r
	f.reported++
	if old.GetMarkNumber() != r.GetMarkNumber() {
		f.poke()
	}
}

// SetSelf changes the description of this process, which is announced if it
// differs. Name, role and incarnation stay.
func (f *Follower) SetSelf(m registrar.Member) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Name, m.Role, m.Incarnation = f.self.Name, f.self.Role, f.self.Incarnation
	if reflect.DeepEqual(m, f.self) {
		return
	}
	f.self = m
	f.described++
	f.poke()
}

// Settled returns a channel that is closed once control has accepted this
// process: from then on the incarnation of Member no longer changes.
func (f *Follower) Settled() <-chan struct{} {
	f.init()
	return f.settled
}

// Superseded tells whether control knows a newer incarnation of this process:
// another process took its name, so this one must take no further work.
func (f *Follower) Superseded() bool {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.superseded
}

// Traffic returns the bytes sent to and received from control hosts so far.
func (f *Follower) Traffic() (sent, received uint64) {
	return f.traffic.sent.Load(), f.traffic.received.Load()
}

// View returns what is known of the agreed state. Its index never falls.
func (f *Follower) View() registrar.View {
	f.init()
	return *f.view.Load()
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.view.Store(&registrar.View{})
		f.changed = make(chan struct{})
		f.settled = make(chan struct{})
		f.kick = make(chan struct{}, 1)
		f.self = f.Self
		if f.self.Incarnation == 0 {
			f.self.Incarnation = uint64(time.Now().UnixNano())
		}
		f.pool = dialer.New()
		f.pool.Dial = f.dial
	})
}

// poke makes the connection look for something to send; the caller holds mu.
func (f *Follower) poke() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// start spreads followers over the control hosts.
func (f *Follower) start() int {
	h := fnv.New32a()
	if _, err := h.Write([]byte(f.Self.Name)); err != nil {
		return 0
	}
	return int(h.Sum32() % uint32(len(f.Addresses)))
}

func (f *Follower) freshFor() time.Duration {
	if f.FreshFor > 0 {
		return f.FreshFor
	}
	return defaultFreshFor
}

func (f *Follower) heartbeatEvery() time.Duration {
	if f.HeartbeatEvery > 0 {
		return f.HeartbeatEvery
	}
	return defaultHeartbeat
}

func (f *Follower) staleAfter() time.Duration {
	if f.StaleAfter > 0 {
		return f.StaleAfter
	}
	return defaultStaleAfter
}
