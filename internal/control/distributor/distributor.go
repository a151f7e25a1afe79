// Package distributor is the control host's side of the stream by which entries
// and agents follow the agreed state.
package distributor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/translator"
)

type (
	// Distributor holds the followers of one control host. Its exported fields
	// are set before Run.
	Distributor struct {
		// Host is the name of this control host.
		Host string
		// Propose has a command agreed on and applied here.
		Propose func(ctx context.Context, c registrar.Command) (registrar.Result, error)
		// ConfirmRead returns an index below which nothing that was committed
		// before the call is missing, once a quorum has confirmed it.
		ConfirmRead func(ctx context.Context) (index uint64, err error)
		// Log receives the events; nil for none.
		Log *logger.Logger
		// Silence is how long a follower may stay silent; 0 for 5 s.
		Silence time.Duration
		// ConfirmEvery is the least time between two reads of the quorum; 0 for 500 ms.
		ConfirmEvery time.Duration
		// LoadsEvery is the time between two batches of loads; 0 for 500 ms.
		LoadsEvery time.Duration

		mu sync.Mutex
		// view is the newest state; its index never falls.
		view registrar.View
		// changes are the newest ones, oldest first: all above floor.
		changes []published
		floor   uint64
		// advanced is closed and replaced when view moves on.
		advanced chan struct{}
		// sessions are the open streams.
		sessions map[*session]struct{}
		// held are the members that this host hears, by name.
		held  map[string]*heldMember
		loads loadBoard
		// relays counts the marks passed on through entries; waiting has who waits for them.
		relays     uint64
		waiting    map[uint64]chan *messenger.RelayedMark
		heartbeats chan struct{}
	}

	// published is a change with its message, which all followers share.
	published struct {
		index   uint64
		message *messenger.Change
	}

	// heldMember is what this host knows of one of its followers.
	heldMember struct {
		member registrar.Member
		// hold is the number of the newest announcement.
		hold uint64
		// heard is when the newest message came.
		heard time.Time
		// index is what the follower has acknowledged.
		index  uint64
		report *messenger.Report
	}
)

const (
	defaultSilence      = 5 * time.Second
	defaultConfirmEvery = 500 * time.Millisecond
	defaultLoadsEvery   = 500 * time.Millisecond
	proposeTimeout      = 5 * time.Second
	// confirmTimeout bounds one read of the quorum. It is short, so that a read
	// that waits for a lost leader is soon asked of the next.
	confirmTimeout = time.Second
	// maxChanges bounds the changes kept for followers that come back; one that
	// is further behind gets a snapshot.
	maxChanges = 8192
	// maxFollowers bounds the streams of one control host.
	maxFollowers = 4096
)

// Advance tells that the state published last holds all changes up to index.
func (d *Distributor) Advance(index uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if index > d.view.Index {
		d.view.Index = index
		close(d.advanced)
		d.advanced = make(chan struct{})
	}
}

// Publish hands the state on after a command. It must be called in log order.
func (d *Distributor) Publish(view registrar.View, changes []registrar.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if view.Index <= d.view.Index {
		return
	}
	for _, c := range changes {
		d.keep(c)
	}
	d.view = view
	close(d.advanced)
	d.advanced = make(chan struct{})
	if len(changes) == 0 {
		return
	}
	for s := range d.sessions {
		s.wake()
	}
}

// Hears tells whether an incarnation of a member follows this host, or did until
// a short while ago.
func (d *Distributor) Hears(name string, incarnation uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.held[name]
	return h != nil && h.member.Incarnation >= incarnation
}

// Reset replaces the state by one from a snapshot: followers that are behind
// it get it whole.
func (d *Distributor) Reset(view registrar.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if view.Index < d.view.Index {
		return
	}
	d.view, d.changes, d.floor = view, nil, view.Index
	close(d.advanced)
	d.advanced = make(chan struct{})
	for s := range d.sessions {
		s.wake()
	}
}

// Run confirms freshness for the followers and lets silent ones expire, until
// ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	d.mu.Lock()
	d.init()
	d.mu.Unlock()
	go d.watchSilence(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.heartbeats:
			d.confirm(ctx)
		}
		if !sleep(ctx, d.confirmEvery()) {
			return nil
		}
	}
}

// Followers returns what this host knows of the followers that it hears.
func (d *Distributor) Followers(now time.Time) *messenger.FollowersReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := &messenger.FollowersReply{Host: d.Host}
	for name, h := range d.held {
		reply.Followers = append(reply.Followers, &messenger.FollowerInfo{
			Name: name, Incarnation: h.member.Incarnation, Index: h.index, Report: h.report,
			SilentNanos: int64(now.Sub(h.heard)),
		})
	}
	return reply
}

// WaitFor returns once the state here holds all changes up to index.
func (d *Distributor) WaitFor(ctx context.Context, index uint64) error {
	for {
		d.mu.Lock()
		d.init()
		at, advanced := d.view.Index, d.advanced
		d.mu.Unlock()
		if at >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "waiting for index %d, at %d", index, at)
		case <-advanced:
		}
	}
}

// View returns the newest state here.
func (d *Distributor) View() registrar.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// confirm has a quorum confirm the state, for all heartbeats that came before.
func (d *Distributor) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	d.mu.Lock()
	asked := make(map[*session]uint64, len(d.sessions))
	for s := range d.sessions {
		asked[s] = s.heard
	}
	d.mu.Unlock()
	index, err := d.ConfirmRead(ctx)
	if err != nil {
		return
	}
	if err := d.WaitFor(ctx, index); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for s, sequence := range asked {
		s.fresh = max(s.fresh, sequence)
		s.wake()
	}
}

func (d *Distributor) confirmEvery() time.Duration {
	if d.ConfirmEvery > 0 {
		return d.ConfirmEvery
	}
	return defaultConfirmEvery
}

// init makes the maps; the caller holds mu.
func (d *Distributor) init() {
	if d.sessions != nil {
		return
	}
	d.sessions = make(map[*session]struct{})
	d.held = make(map[string]*heldMember)
	d.waiting = make(map[uint64]chan *messenger.RelayedMark)
	d.advanced = make(chan struct{})
	d.heartbeats = make(chan struct{}, 1)
}

// since returns the changes above index, or false if they aren't kept any more.
func (d *Distributor) since(index uint64) ([]published, bool) {
	if index < d.floor {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(d.changes, index+1, func(p published, target uint64) int {
		if p.index < target {
			return -1
		}
		return 1
	})
	return d.changes[i:len(d.changes):len(d.changes)], true
}

// keep adds a change to those kept for followers; the caller holds mu.
func (d *Distributor) keep(c registrar.Change) {
	if m, ok := d.view.Member(c.Removed); ok {
		delete(d.loads.loads, m.Ordinal)
	}
	message, err := translator.ChangeTo(c)
	if err != nil {
		// Followers get a snapshot in place of a change that can't be sent.
		d.changes, d.floor = nil, c.Index
		return
	}
	d.changes = append(d.changes, published{index: c.Index, message: message})
	if extra := len(d.changes) - maxChanges; extra >= maxChanges/4 {
		d.floor = d.changes[extra-1].index
		d.changes = slices.Clone(d.changes[extra:])
	}
}

func (d *Distributor) silence() time.Duration {
	if d.Silence > 0 {
		return d.Silence
	}
	return defaultSilence
}

// watchSilence expires the members that this host holds and no longer hears.
func (d *Distributor) watchSilence(ctx context.Context) {
	for sleep(ctx, d.silence()/8) {
		for _, h := range d.silent(time.Now()) {
			d.expire(ctx, h)
		}
	}
}

// silent returns the members that were silent for too long.
func (d *Distributor) silent(now time.Time) []heldMember {
	d.mu.Lock()
	defer d.mu.Unlock()
	var silent []heldMember
	for _, h := range d.held {
		if now.Sub(h.heard) > d.silence() {
			silent = append(silent, *h)
		}
	}
	return silent
}

// expire has a member removed, unless it moved to another control host or came back.
func (d *Distributor) expire(ctx context.Context, h heldMember) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	e := registrar.Expire{Name: h.member.Name, Incarnation: h.member.Incarnation, Announcement: h.hold}
	result, err := d.Propose(ctx, registrar.Command{Expire: &e})
	if err != nil || result.Member == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.held[h.member.Name]
	if now != nil && now.hold == h.hold && now.heard.Equal(h.heard) {
		delete(d.held, h.member.Name)
	}
	if result.Member.Accepted {
		d.Log.Emit(time.Now(), logger.MemberExpired, "",
			logger.F("member", h.member.Name), logger.F("incarnation", h.member.Incarnation))
	}
}

// sleep waits for t and tells whether ctx is still alive.
func sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
