// Package follower keeps a copy of the replicated state in an entry or agent. It
// follows one control host at a time, and switches to another if that one is
// silent, stale or behind.
//
// Set the exported fields, then call Run in a goroutine of its own. View is cheap
// and never blocks; Changed signals that the view has changed; Fresh reports whether
// a quorum of the control hosts confirmed it within FreshFor. An agent may admit
// work only while Fresh is true, Superseded is false and View().Mark(name) is not
// leaving.
//
// A quorum confirms the view as follows: the follower sends heartbeats, the control
// host makes a quorum read after each and answers with the index that it covers.
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
	// Follower holds one entry's or agent's copy of the replicated state. Its
	// exported fields are set before Run. All methods are safe for concurrent use.
	Follower struct {
		// Addresses are the IP addresses with ports of all control hosts.
		Addresses []string
		// Self describes this process. An Incarnation of 0 is replaced by the current
		// time in Unix nanoseconds; Member returns the one in use.
		Self registrar.Member
		// Log receives the events; nil for none.
		Log *logger.Logger
		// RelayMark sends a mark to the agent at address, for a control host that
		// can't reach it. Nil calls the agent's drpc service directly.
		RelayMark func(ctx context.Context, address string, m *messenger.MarkRequest) (*messenger.MarkReply, error)
		// HeartbeatEvery is the time between heartbeats; 0 for 1 s.
		HeartbeatEvery time.Duration
		// StaleAfter is the time without a confirmation after which the follower
		// leaves its control host; 0 for 3 s.
		StaleAfter time.Duration
		// FreshFor is how long a confirmation keeps the view fresh; 0 for 6 s.
		FreshFor time.Duration
		// Elapsed returns the time since another time, with that in which the host was suspended;
		// nil for pauser.Elapsed.
		Elapsed func(since, now time.Time) time.Duration

		once sync.Once
		view atomic.Pointer[registrar.View]
		// loads are the packed loads by member ordinal.
		loads atomic.Pointer[map[uint32]uint32]
		pool  *dialer.Pool
		// traffic counts the bytes to and from control hosts, and to and from agents
		// to which marks are relayed directly.
		traffic traffic

		mu sync.Mutex
		// changed is closed and replaced when the view changes or is first confirmed.
		changed chan struct{}
		// wakeup holds one item if the connection has something to send.
		wakeup chan struct{}
		// self is Self as last set, and report the newest report; the versions count
		// their changes.
		self          registrar.Member
		selfVersion   uint64
		report        *messenger.Report
		reportVersion uint64
		relayReplies  []*messenger.RelayedMark
		// confirmedAt is the send time of the newest heartbeat that a quorum confirmed;
		// zero before the first.
		confirmedAt time.Time
		// accepted is closed, and isAccepted set, once control has accepted this
		// incarnation. superseded is set once control knows a newer one after that.
		accepted   chan struct{}
		isAccepted bool
		superseded bool
		// current is the address of the followed control host; empty if none.
		current string
	}
)

const (
	defaultHeartbeatEvery = time.Second
	defaultStaleAfter     = 3 * time.Second
	defaultFreshFor       = 6 * time.Second
	dialTimeout           = 2 * time.Second
	// stallTimeout bounds one write to a control host or an agent.
	stallTimeout = 3 * time.Second
	// firstRetry and maxRetry bound the backoff after all hosts have failed.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// Changed returns a channel that is closed at the next change of the view, or when a
// quorum first confirms it. It stays open if only the view's index rises. Call it
// before View, so that no change is missed.
func (f *Follower) Changed() <-chan struct{} {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Fresh reports whether a quorum has confirmed the view within FreshFor before now.
func (f *Follower) Fresh(now time.Time) bool {
	at := f.ConfirmedAt()
	elapsed := pauser.Elapsed
	if f.Elapsed != nil {
		elapsed = f.Elapsed
	}
	return !at.IsZero() && elapsed(at, now) <= f.freshFor()
}

// ConfirmedAt returns the time up to which all committed changes are in the view, as
// confirmed by a quorum; the zero time before the first confirmation.
func (f *Follower) ConfirmedAt() time.Time {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// Load returns the newest reported load of the agent with the given member name, or
// false if none is known. Only entries receive loads.
func (f *Follower) Load(server string) (Load, bool) {
	m, ok := f.View().Member(server)
	loads := f.loads.Load()
	if !ok || loads == nil {
		return Load{}, false
	}
	packed, ok := (*loads)[m.Ordinal]
	return UnpackLoad(packed), ok
}

// Member returns the newest description of this process, with the incarnation in
// use.
func (f *Follower) Member() registrar.Member {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// Run follows control hosts until ctx ends. Then it sends goodbye, so that this
// process is removed from the members at once: end ctx only when no work is left.
// Its error is that of closing the connections; failures of hosts are only logged.
func (f *Follower) Run(ctx context.Context) (err error) {
	f.init()
	defer func() { err = errors.Join(err, f.pool.Close()) }()
	next := f.firstHost()
	wait := firstRetry
	for failed := 0; ctx.Err() == nil; {
		address := f.Addresses[next%len(f.Addresses)]
		next++
		began := time.Now()
		cause := f.follow(ctx, address)
		if ctx.Err() != nil {
			return nil
		}
		f.Log.Emit(time.Now(), logger.ControlHostSwitched, "", logger.F("address", address), logger.F("cause", cause))
		// A connection that lasted this long has most likely been confirmed, so the
		// backoff restarts.
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

// SetReport sets an agent's report of its work, which is sent to control if it has
// changed: at once if the mark number differs, else with the next heartbeat. The
// caller must not change r afterwards.
func (f *Follower) SetReport(r *messenger.Report) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.report
	if proto.Equal(old, r) {
		return
	}
	f.report = r
	f.reportVersion++
	if old.GetMarkNumber() != r.GetMarkNumber() {
		f.wake()
	}
}

// SetSelf replaces the description of this process, and announces it if it differs.
// Name, role and incarnation stay.
func (f *Follower) SetSelf(m registrar.Member) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Name, m.Role, m.Incarnation = f.self.Name, f.self.Role, f.self.Incarnation
	if reflect.DeepEqual(m, f.self) {
		return
	}
	f.self = m
	f.selfVersion++
	f.wake()
}

// Accepted returns a channel that is closed once control has accepted this incarnation.
// From then on Member's incarnation no longer changes.
func (f *Follower) Accepted() <-chan struct{} {
	f.init()
	return f.accepted
}

// Superseded reports whether control knows a newer incarnation of this process:
// another process has its name, so this one must accept no further work.
func (f *Follower) Superseded() bool {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.superseded
}

// Traffic returns the bytes sent and received so far, to and from control hosts and
// the agents to which marks are relayed directly.
func (f *Follower) Traffic() (sent, received uint64) {
	return f.traffic.sent.Load(), f.traffic.received.Load()
}

// View returns the newest view of the replicated state. Its index never falls.
func (f *Follower) View() registrar.View {
	f.init()
	return *f.view.Load()
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.view.Store(&registrar.View{})
		f.changed = make(chan struct{})
		f.accepted = make(chan struct{})
		f.wakeup = make(chan struct{}, 1)
		f.self = f.Self
		if f.self.Incarnation == 0 {
			f.self.Incarnation = uint64(time.Now().UnixNano())
		}
		f.pool = dialer.New()
		f.pool.Dial = f.dial
	})
}

// wake wakes the connection's writer, also if it isn't waiting yet. It never blocks.
func (f *Follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// firstHost returns the index of the first control host to follow. It hashes the
// name, so that followers spread over the hosts.
func (f *Follower) firstHost() int {
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
	return defaultHeartbeatEvery
}

func (f *Follower) staleAfter() time.Duration {
	if f.StaleAfter > 0 {
		return f.StaleAfter
	}
	return defaultStaleAfter
}
