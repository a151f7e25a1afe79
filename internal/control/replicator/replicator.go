// Package replicator makes a few control hosts agree on one log: terms and
// votes, replication, confirmed reads, snapshots and changes of the membership.
package replicator

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// Replicator is one control host's part in the agreement. Its exported
	// fields are set before Run. Commands are applied in the order of their
	// indexes, each once in the life of a process, by one goroutine.
	Replicator struct {
		// Name is unique among control hosts; Address is where others reach this one.
		Name    string
		Address string
		// Peers are all control hosts at the first start, this one included.
		Peers []Peer
		// Folder holds the log and the snapshots; Files is the layer under it, by
		// default the disk.
		Folder string
		Files  recorder.Files
		// Apply changes the application by a committed command and returns its result.
		Apply func(index uint64, command []byte) []byte
		// Snapshot returns the application's state after the last Apply.
		Snapshot func() ([]byte, error)
		// Restore replaces the application's state by that of a snapshot.
		Restore func(index uint64, state []byte) error
		// Send passes a message to the host at an address; it may lose it.
		Send func(ctx context.Context, address string, m *messenger.PeerMessage) error
		// Ask passes a question to the host at an address and returns its answer.
		Ask func(ctx context.Context, address string, req *messenger.PeerRequest) (*messenger.PeerReply, error)
		Log *logger.Logger
		// Now is the clock; by default time.Now. Jumps of it do no harm.
		Now func() time.Time
		// Heartbeat is the time between heartbeats, by default 100 ms.
		Heartbeat time.Duration
		// ElectionTimeout is how long a leader may stay unheard, by default 1 s.
		ElectionTimeout time.Duration
		// SnapshotEntries is how many entries are applied between snapshots, by
		// default 20,000; TrailingEntries of them stay in the log for hosts that
		// are a little behind, by default 5,000.
		SnapshotEntries uint64
		TrailingEntries uint64
		// SnapshotBytes is how many bytes of commands are applied between snapshots at
		// most, by default 16 MiB; half of them at most stay in the log.
		SnapshotBytes int

		mu sync.Mutex
		// work wakes the flusher and the applier; changed is closed and replaced
		// whenever something changes that callers wait for.
		work    *sync.Cond
		changed chan struct{}
		ctx     context.Context
		wg      sync.WaitGroup
		rec     *recorder.Recorder
		rnd     *rand.Rand
		// running is set from when the log is read until the host stops; stopped
		// from then on.
		running, stopped bool
		// failure ends Run.
		failure error

		// clock is the time since the start, without jumps of Now.
		clock    time.Duration
		lastTick time.Time

		role role
		term uint64
		vote string
		// leader is who leads the term, as far as known.
		leader Peer
		// heardAt is when the leader was last heard of; patience is how long to
		// wait from then on before an election.
		heardAt  time.Duration
		patience time.Duration
		votes    map[string]bool

		// commit never falls and is never above the last index; applied never
		// falls and is never above commit.
		commit, applied uint64
		// ticket is the newest ticket of the recorder, flushed the newest synced one.
		ticket, flushed uint64
		// memberships are all that the log holds from the newest snapshot on, by index.
		memberships []membership
		peers       map[string]*peer
		waiters     map[uint64][]waiter
		full        bool

		// Of the leader: selfMatch is the last of its own entries that is synced,
		// firstOfTerm the index of its first entry, round the newest round of confirmation.
		selfMatch   uint64
		firstOfTerm uint64
		round       uint64
		transferTo  string

		// incoming is the snapshot that is being received; restore is one to be
		// restored by the applier.
		incoming     *incoming
		installing   bool
		restore      *restoration
		snapshotting bool
		// unsaved counts the bytes of commands applied since the last snapshot began.
		unsaved int
		// recheck is set when a snapshot ends while the next one is due already.
		recheck bool
		// snapshotLock is held while a snapshot file is written.
		snapshotLock sync.Mutex
	}

	// Peer is a control host by name and address.
	Peer struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}

	// Status is what a host knows of the agreement.
	Status struct {
		Name    string         `json:"name"`
		ID      string         `json:"id"`
		Role    string         `json:"role"`
		Term    uint64         `json:"term"`
		Leader  Peer           `json:"leader"`
		Commit  uint64         `json:"commit"`
		Applied uint64         `json:"applied"`
		First   uint64         `json:"first"`
		Last    uint64         `json:"last"`
		Members []MemberStatus `json:"members"`
		// DiskFull tells that the host refuses changes for want of room.
		DiskFull bool `json:"diskFull"`
	}

	// MemberStatus is what the asked host knows of a member. Match and Alive are
	// known to the leader only.
	MemberStatus struct {
		Name    string `json:"name"`
		ID      string `json:"id"`
		Address string `json:"address"`
		Voter   bool   `json:"voter"`
		// Match is the last index that the member is known to hold.
		Match uint64 `json:"match"`
		// Alive tells that the member answered within the election timeout.
		Alive bool `json:"alive"`
	}

	role int

	// waiter waits for the outcome of a proposal at an index. Terms may put
	// several proposals at one index, of which at most one gets committed.
	waiter struct {
		term uint64
		done chan outcome
	}

	outcome struct {
		result []byte
		err    error
	}
)

const (
	follower role = iota
	preCandidate
	candidate
	leader

	defaultHeartbeat       = 100 * time.Millisecond
	defaultElectionTimeout = time.Second
	defaultSnapshotEntries = 20_000
	defaultTrailingEntries = 5_000
	defaultSnapshotBytes   = 16 << 20
	// maxCommand bounds a command in bytes.
	maxCommand = 8 << 20
	// maxApplyBytes bounds the data that is applied between two looks at the log.
	maxApplyBytes = 1 << 20
)

func (r role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Run takes part in the agreement until ctx ends or the disk fails. A log found
// damaged is set aside, and the host asks the others to rebuild it.
func (r *Replicator) Run(ctx context.Context) error {
	r.setDefaults()
	if err := r.open(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.start(ctx); err != nil {
		return errors.Join(err, r.rec.Close())
	}
	r.wg.Go(r.flushLoop)
	r.wg.Go(r.applyLoop)
	r.wg.Go(func() { r.formLoop(ctx) })
	r.tickLoop(ctx)
	r.stop()
	cancel()
	r.wg.Wait()
	err := r.rec.Close()
	if r.failure != nil {
		return r.failure
	}
	return err
}

// Status returns what the host knows now.
func (r *Replicator) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Name: r.Name, Leader: r.leader, Role: r.role.String(), Term: r.term, Commit: r.commit, Applied: r.applied}
	if !r.running {
		return s
	}
	s.ID = r.rec.ID()
	s.First = r.rec.FirstIndex()
	s.Last, _ = r.rec.Last()
	s.DiskFull = r.full
	for _, m := range r.members() {
		status := MemberStatus{Name: m.Name, ID: m.Id, Address: m.Address, Voter: m.Voter}
		if p := r.peers[m.Id]; r.role == leader && p != nil {
			status.Match = p.match
			status.Alive = r.alive(p)
		}
		if r.role == leader && m.Id == s.ID {
			status.Match = r.selfMatch
			status.Alive = true
		}
		s.Members = append(s.Members, status)
	}
	return s
}

func (r *Replicator) applyLoop() {
	for {
		r.mu.Lock()
		for r.running && r.restore == nil && r.applied >= r.commit && !r.recheck {
			r.work.Wait()
		}
		if !r.running {
			r.mu.Unlock()
			return
		}
		restore := r.restore
		r.restore = nil
		r.recheck = false
		entries := r.committed()
		r.mu.Unlock()
		if restore != nil {
			r.restoreNow(restore)
			continue
		}
		for _, e := range entries {
			r.applyOne(e)
		}
		r.maybeSnapshot()
	}
}

// committed returns the next entries that may be applied; the caller holds mu.
func (r *Replicator) committed() []*messenger.LogEntry {
	if r.commit <= r.applied {
		return nil
	}
	entries, _ := r.rec.Entries(r.applied+1, maxApplyBytes)
	return entries[:min(uint64(len(entries)), r.commit-r.applied)]
}

func (r *Replicator) applyOne(e *messenger.LogEntry) {
	var result []byte
	if e.Kind == messenger.LogEntry_KIND_COMMAND {
		result = r.Apply(e.Index, e.Data)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = e.Index
	r.unsaved += len(e.Data)
	for _, w := range r.waiters[e.Index] {
		done := outcome{result: result}
		if w.term != e.Term {
			done = outcome{err: r.notLeader()}
		}
		w.done <- done
	}
	delete(r.waiters, e.Index)
	r.bump()
}

// bump wakes callers that wait for a change.
func (r *Replicator) bump() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// emit writes an event.
func (r *Replicator) emit(ev logger.Event, fields ...logger.Field) {
	r.Log.Emit(r.Now(), ev, "", append([]logger.Field{logger.F("host", r.Name)}, fields...)...)
}

// fail ends Run: the host must neither vote nor acknowledge any more.
func (r *Replicator) fail(err error) {
	if r.failure != nil {
		return
	}
	r.failure = err
	r.stopped = true
	r.emit(logger.ControlDiskFailed, logger.F("error", err))
	r.running = false
	r.work.Broadcast()
	r.bump()
}

// flushLoop makes queued records durable, as many at a time as there are.
func (r *Replicator) flushLoop() {
	for {
		r.mu.Lock()
		for r.running && r.ticket == r.flushed {
			r.work.Wait()
		}
		if !r.running {
			r.mu.Unlock()
			return
		}
		ticket, term := r.ticket, r.term
		last, _ := r.rec.Last()
		r.mu.Unlock()
		err := r.rec.Sync(ticket)
		r.mu.Lock()
		if err != nil {
			r.diskError(err)
			if r.running {
				r.work.Wait()
			}
			r.mu.Unlock()
			continue
		}
		r.diskWorks()
		r.flushed = ticket
		if r.term == term {
			r.flushedOwn(last)
		}
		r.mu.Unlock()
	}
}

// flushedOwn counts what this host itself has made durable in its term.
func (r *Replicator) flushedOwn(last uint64) {
	switch r.role {
	case leader:
		r.selfMatch = max(r.selfMatch, last)
		r.advanceCommit()
	case candidate:
		r.votes[r.rec.ID()] = true
		r.countVotes()
	}
}

func (r *Replicator) diskError(err error) {
	if full := new(recorder.FullError); !errors.As(err, &full) {
		r.fail(err)
		return
	}
	if !r.full {
		r.full = true
		r.emit(logger.ControlDiskFull, logger.F("error", err))
	}
	if best := r.bestVoter(); r.role == leader && best != nil {
		r.handOver(best)
	}
}

func (r *Replicator) diskWorks() {
	if r.full {
		r.full = false
		r.emit(logger.ControlDiskRoom)
	}
}

func (r *Replicator) open() error {
	r.rec = &recorder.Recorder{Folder: r.Folder, Files: r.Files}
	err := r.rec.Open()
	damaged := new(recorder.DamagedError)
	if !errors.As(err, &damaged) {
		return err
	}
	r.emit(logger.ControlLogDamaged, logger.F("path", damaged.Path), logger.F("offset", damaged.Offset),
		logger.F("cause", damaged.Cause))
	if err := r.rec.SetAside(); err != nil {
		return eris.Wrap(err, "set damaged log aside")
	}
	r.rec = &recorder.Recorder{Folder: r.Folder, Files: r.Files}
	return r.rec.Open()
}

func (r *Replicator) setDefaults() {
	if r.Files.Read == nil {
		r.Files = recorder.Disk()
	}
	if r.Now == nil {
		r.Now = time.Now
	}
	if r.Heartbeat == 0 {
		r.Heartbeat = defaultHeartbeat
	}
	if r.ElectionTimeout == 0 {
		r.ElectionTimeout = defaultElectionTimeout
	}
	if r.SnapshotEntries == 0 {
		r.SnapshotEntries = defaultSnapshotEntries
	}
	if r.SnapshotBytes == 0 {
		r.SnapshotBytes = defaultSnapshotBytes
	}
	if r.TrailingEntries == 0 {
		r.TrailingEntries = defaultTrailingEntries
	}
}

// start takes up what the log holds.
func (r *Replicator) start(ctx context.Context) error {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(r.rec.ID()))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rnd = rand.New(rand.NewPCG(seed.Sum64(), 0))
	r.work = sync.NewCond(&r.mu)
	r.changed = make(chan struct{})
	r.ctx = ctx
	r.lastTick = r.Now()
	r.peers = make(map[string]*peer)
	r.waiters = make(map[uint64][]waiter)
	r.term, r.vote = r.rec.State()
	if err := r.loadMemberships(); err != nil {
		return err
	}
	if snap := r.rec.Snapshot(); snap != nil {
		state, err := recorder.Unpack(snap.Data)
		if err != nil {
			return err
		}
		if err := r.Restore(snap.Index, state); err != nil {
			return eris.Wrapf(err, "restore snapshot %d", snap.Index)
		}
		r.applied = snap.Index
	}
	r.commit = max(r.rec.Commit(), r.applied)
	r.rec.SetCommit(r.commit)
	r.resetPatience()
	if r.aloneVotes() {
		r.patience = 0 // There is no leader to wait for.
	}
	r.running = true
	r.linkMembers()
	return nil
}

// stop ends all that waits.
func (r *Replicator) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	r.stopped = true
	r.dropWaiters(math.MaxUint64, ErrStopped)
	r.work.Broadcast()
	r.bump()
}

// tickLoop acts on the passing of time until ctx ends or the host fails.
func (r *Replicator) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(r.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		r.tick(r.Now())
		running := r.running
		r.mu.Unlock()
		if !running {
			return
		}
	}
}

// tick acts on the passing of time up to now. However far now has jumped, it
// counts for at most two heartbeats.
func (r *Replicator) tick(now time.Time) {
	passed := now.Sub(r.lastTick)
	r.lastTick = now
	r.clock += min(max(passed, 0), 2*r.Heartbeat)
	if passed < 0 {
		r.clock += r.Heartbeat
	}
	if r.full {
		r.work.Broadcast()
	}
	if r.role == leader {
		r.beat()
		return
	}
	if r.clock-r.heardAt >= r.patience && !r.installing {
		r.campaign()
	}
}
