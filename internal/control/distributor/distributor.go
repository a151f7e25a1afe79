// Package distributor is the control host's side of the streams on which entries
// and agents follow the replicated state.
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
		// Propose commits a command and returns its result once it is applied on
		// this host.
		Propose func(ctx context.Context, c registrar.Command) (registrar.Result, error)
		// ConfirmRead is a quorum read: it returns a log index that covers every
		// command committed before the call.
		ConfirmRead func(ctx context.Context) (index uint64, err error)
		// Log receives the events; nil for none.
		Log *logger.Logger
		// SilenceTimeout is the time without a message after which a follower is
		// removed; 0 for 5 s.
		SilenceTimeout time.Duration
		// ConfirmEvery is the least time between two quorum reads; 0 for 500 ms.
		ConfirmEvery time.Duration
		// LoadsEvery is the time between two batches of loads; 0 for 500 ms.
		LoadsEvery time.Duration

		mu sync.Mutex
		// view is the newest one; its index never falls.
		view registrar.View
		// changes are all changes with an index above floor, oldest first.
		changes []publishedChange
		floor   uint64
		// advanced is closed and replaced when view or its index changes.
		advanced chan struct{}
		// sessions are the open streams.
		sessions map[*session]struct{}
		// followers are the members that follow this host, or did and are not yet
		// removed, by name.
		followers map[string]*followerRecord
		loads     loadTable
		// lastRelayID is the id of the newest mark relayed through an entry, and
		// pendingRelays has the channels that wait for an answer, by id.
		lastRelayID   uint64
		pendingRelays map[uint64]chan *messenger.RelayedMark
		// heartbeats holds one item if a heartbeat waits to be confirmed.
		heartbeats chan struct{}
	}

	// publishedChange is a change encoded once for all followers.
	publishedChange struct {
		index   uint64
		message *messenger.Change
	}

	// followerRecord is the state of one follower of this host.
	followerRecord struct {
		member registrar.Member
		// announcement is the number of the newest committed announcement.
		announcement uint64
		// lastMessage is when the newest message arrived; zero after goodbye.
		lastMessage time.Time
		// acknowledged is the highest log index that the follower has acknowledged.
		acknowledged uint64
		report       *messenger.Report
	}
)

const (
	defaultSilenceTimeout = 5 * time.Second
	defaultConfirmEvery   = 500 * time.Millisecond
	defaultLoadsEvery     = 500 * time.Millisecond
	proposeTimeout        = 5 * time.Second
	// confirmTimeout bounds one quorum read. It is short, so that a read that waits
	// for a lost leader is soon sent to the next one.
	confirmTimeout = time.Second
	// maxChanges bounds the changes kept for followers that reconnect, with up to a
	// quarter more between two trims; a follower that is further behind gets a
	// snapshot.
	maxChanges = 8192
	// maxFollowers bounds the streams of one control host.
	maxFollowers = 4096
)

// Advance raises the view's index, as the view published last holds all changes up to
// it. A lower index has no effect.
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

// Publish distributes the view and the changes that a command made. It must be
// called in log order; a view that isn't above the current index is ignored.
func (d *Distributor) Publish(view registrar.View, changes []registrar.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if view.Index <= d.view.Index {
		return
	}
	for _, c := range changes {
		d.appendChange(c)
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

// HasFollower reports whether a member follows this host, or did so within
// SilenceTimeout, with this incarnation or a newer one.
func (d *Distributor) HasFollower(name string, incarnation uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.followers[name]
	return record != nil && record.member.Incarnation >= incarnation
}

// Reset replaces the view by that of a snapshot, unless its index is lower. Followers
// behind it get the whole view.
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

// Run confirms the followers' heartbeats with quorum reads and removes silent
// followers, until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	d.mu.Lock()
	d.init()
	d.mu.Unlock()
	go d.expireSilentFollowers(ctx)
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

// Followers returns the state of the followers of this host.
func (d *Distributor) Followers(now time.Time) *messenger.FollowersReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := &messenger.FollowersReply{Host: d.Host}
	for name, record := range d.followers {
		reply.Followers = append(reply.Followers, &messenger.FollowerInfo{
			Name: name, Incarnation: record.member.Incarnation, Index: record.acknowledged, Report: record.report,
			SilentNanos: int64(now.Sub(record.lastMessage)),
		})
	}
	return reply
}

// WaitFor returns once the view holds all changes up to index.
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

// View returns the newest view.
func (d *Distributor) View() registrar.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// confirm makes one quorum read and, once the view has reached its index, confirms
// all heartbeats that were received before the read.
func (d *Distributor) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	d.mu.Lock()
	sequences := make(map[*session]uint64, len(d.sessions))
	for s := range d.sessions {
		sequences[s] = s.lastHeartbeat
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
	for s, sequence := range sequences {
		s.confirmed = max(s.confirmed, sequence)
		s.wake()
	}
}

func (d *Distributor) confirmEvery() time.Duration {
	if d.ConfirmEvery > 0 {
		return d.ConfirmEvery
	}
	return defaultConfirmEvery
}

// init makes the maps and channels; the caller holds mu.
func (d *Distributor) init() {
	if d.sessions != nil {
		return
	}
	d.sessions = make(map[*session]struct{})
	d.followers = make(map[string]*followerRecord)
	d.pendingRelays = make(map[uint64]chan *messenger.RelayedMark)
	d.advanced = make(chan struct{})
	d.heartbeats = make(chan struct{}, 1)
}

// changesSince returns the changes above index, or false if some are no longer kept;
// the caller holds mu.
func (d *Distributor) changesSince(index uint64) ([]publishedChange, bool) {
	if index < d.floor {
		return nil, false
	}
	// Several changes can have one index; the search ends at the first above index.
	i, _ := slices.BinarySearchFunc(d.changes, index+1, func(p publishedChange, target uint64) int {
		if p.index < target {
			return -1
		}
		return 1
	})
	return d.changes[i:len(d.changes):len(d.changes)], true
}

// appendChange adds a change to those kept for followers, and drops the load of a
// removed member; the caller holds mu.
func (d *Distributor) appendChange(c registrar.Change) {
	if m, ok := d.view.Member(c.Removed); ok {
		delete(d.loads.loads, m.Ordinal)
	}
	message, err := translator.ChangeTo(c)
	if err != nil {
		// Followers get a snapshot instead of a change that can't be encoded.
		d.changes, d.floor = nil, c.Index
		return
	}
	d.changes = append(d.changes, publishedChange{index: c.Index, message: message})
	if extra := len(d.changes) - maxChanges; extra >= maxChanges/4 {
		d.floor = d.changes[extra-1].index
		d.changes = slices.Clone(d.changes[extra:])
	}
}

func (d *Distributor) silenceTimeout() time.Duration {
	if d.SilenceTimeout > 0 {
		return d.SilenceTimeout
	}
	return defaultSilenceTimeout
}

// expireSilentFollowers removes followers that exceed the silence timeout, until
// ctx ends.
func (d *Distributor) expireSilentFollowers(ctx context.Context) {
	for sleep(ctx, d.silenceTimeout()/8) {
		for _, silent := range d.silentFollowers(time.Now()) {
			d.expire(ctx, silent)
		}
	}
}

// silentFollowers returns copies of the followers that exceed the silence timeout.
func (d *Distributor) silentFollowers(now time.Time) []followerRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var silent []followerRecord
	for _, record := range d.followers {
		if now.Sub(record.lastMessage) > d.silenceTimeout() {
			silent = append(silent, *record)
		}
	}
	return silent
}

// expire removes a member, unless it moved to another control host or reconnected.
func (d *Distributor) expire(ctx context.Context, silent followerRecord) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	e := registrar.ExpireMember{Name: silent.member.Name, Incarnation: silent.member.Incarnation, Announcement: silent.announcement}
	result, err := d.Propose(ctx, registrar.Command{Expire: &e})
	if err != nil || result.Member == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.followers[silent.member.Name]
	if current != nil && current.announcement == silent.announcement && current.lastMessage.Equal(silent.lastMessage) {
		delete(d.followers, silent.member.Name)
	}
	if result.Member.Accepted {
		d.Log.Emit(time.Now(), logger.MemberExpired, "",
			logger.F("member", silent.member.Name), logger.F("incarnation", silent.member.Incarnation))
	}
}

// sleep waits for t. It returns false if ctx ends first.
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
