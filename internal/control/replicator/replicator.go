// Package replicator replicates one log among the control hosts with the Raft algorithm:
// elections, log replication, confirmed reads, snapshots and membership changes. A voter
// counts for quorums; a learner receives the log and does not vote.
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
	// Replicator is one control host's replica of the log. Its exported fields are set
	// before Run. One goroutine applies committed commands in the order of their indexes,
	// each at most once in the life of a process.
	Replicator struct {
		// Name is unique among control hosts; Address is where other hosts reach this one.
		Name    string
		Address string
		// Peers lists all control hosts at the first start, this one included.
		Peers []Peer
		// Folder holds the log and the snapshots. Files is the file layer, by default the
		// disk.
		Folder string
		Files  recorder.Files
		// Apply applies a committed command to the application and returns its result.
		Apply func(index uint64, command []byte) []byte
		// Snapshot returns the application's state after the last Apply.
		Snapshot func() ([]byte, error)
		// Restore replaces the application's state with that of a snapshot.
		Restore func(index uint64, state []byte) error
		// Send sends a message to the host at an address; the message may be lost, with or
		// without an error.
		Send func(ctx context.Context, address string, m *messenger.PeerMessage) error
		// Ask sends a request to the host at an address and returns its reply. It fails with
		// NotSentError only if the host can't have received the request.
		Ask func(ctx context.Context, address string, req *messenger.PeerRequest) (*messenger.PeerReply, error)
		// Log receives the events; nil for none.
		Log *logger.Logger
		// Now returns the present time, by default time.Now. Clock jumps do no harm.
		Now func() time.Time
		// Heartbeat is the time between heartbeats, by default 100 ms.
		Heartbeat time.Duration
		// ElectionTimeout is the shortest time without contact to the leader after which a
		// host starts an election, by default 1 s.
		ElectionTimeout time.Duration
		// SnapshotEntries is the number of entries applied between snapshots, by default
		// 20,000. TrailingEntries of them stay in the log for hosts that are slightly
		// behind, by default 5,000.
		SnapshotEntries uint64
		TrailingEntries uint64
		// SnapshotBytes is the maximum size of the commands applied between snapshots, by
		// default 16 MiB. At most half of it stays in the log.
		SnapshotBytes int

		// mu guards the fields below. Methods that use them without locking mu are called
		// with mu held.
		mu sync.Mutex
		// work wakes the flush and apply loops. changed is closed and replaced on each
		// change that callers may wait for.
		work    *sync.Cond
		changed chan struct{}
		ctx     context.Context
		wg      sync.WaitGroup
		rec     *recorder.Recorder
		rnd     *rand.Rand
		// running is set once the log is read, until the host stops. stopped is set from
		// then on.
		running, stopped bool
		// failure is the error that ended Run.
		failure error

		// clock is the time elapsed since the start, without jumps of Now.
		clock    time.Duration
		lastTick time.Time

		role role
		term uint64
		// vote is the id of the candidate voted for in the term, empty if none.
		vote string
		// leader is the leader of the term, the zero Peer while it is unknown.
		leader Peer
		// lastContact is the time on clock of the last contact with the leader, or of the
		// last reset of the election timer. A pre-vote starts randomizedTimeout later.
		lastContact       time.Duration
		randomizedTimeout time.Duration
		// votes holds the ids of the hosts that granted the current pre-vote or vote.
		votes map[string]bool

		// commit never decreases and never exceeds the last index; applied never decreases
		// and never exceeds commit.
		commit, applied uint64
		// queuedSeq is the sequence number of the newest record queued in the recorder,
		// flushedSeq that of the newest one that flushLoop has synced.
		queuedSeq, flushedSeq uint64
		// memberships holds all memberships in the log from the newest snapshot on, by
		// index.
		memberships []membership
		// peers holds the other members, and other hosts that have sent messages, by id.
		peers map[string]*peer
		// waiters holds the pending proposals, by index.
		waiters  map[uint64][]waiter
		diskFull bool

		// Leader only: selfMatch is the last index of its own log that is synced,
		// firstOfTerm the index of its first entry, round the newest confirmation round,
		// transferTo the id of the voter to which leadership is being transferred. Replies
		// that carry a round prove that this host led when the round began.
		selfMatch   uint64
		firstOfTerm uint64
		round       uint64
		transferTo  string

		// incoming is the snapshot being received; installing is set while it is installed.
		// pendingRestore is a snapshot that the apply loop is to restore. snapshotting is
		// set while this host saves a snapshot of its own.
		incoming       *incomingSnapshot
		installing     bool
		pendingRestore *unpackedSnapshot
		snapshotting   bool
		// unsavedBytes is the size of the commands applied since the last snapshot began.
		unsavedBytes int
		// snapshotDue is set when a snapshot ends while the next one is already due.
		snapshotDue bool
		// snapshotLock is held while a snapshot file is written.
		snapshotLock sync.Mutex
	}

	// Peer is the name and address of a control host.
	Peer struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}

	role int

	// waiter waits for the outcome of a proposal at an index. Proposals of different terms
	// may have the same index; at most one of them is committed. done has a buffer of one.
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
	// maxCommandBytes bounds a command in bytes.
	maxCommandBytes = 8 << 20
	// maxApplyBytes bounds the data of entries read from the log at a time; the last entry
	// may exceed it.
	maxApplyBytes = 1 << 20
)

func (r role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Run runs the host until ctx ends or the disk fails. It sets a damaged log aside and asks
// the other hosts to rebuild this one.
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
	r.wg.Go(func() { r.bootstrapLoop(ctx) })
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

// signalChange wakes callers that wait for a change.
func (r *Replicator) signalChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// emit logs an event with the host's name.
func (r *Replicator) emit(ev logger.Event, fields ...logger.Field) {
	r.Log.Emit(r.Now(), ev, "", append([]logger.Field{logger.F("host", r.Name)}, fields...)...)
}

// fail ends Run with an error, after which the host must neither vote nor acknowledge
// entries. Only the first error counts.
func (r *Replicator) fail(err error) {
	if r.failure != nil {
		return
	}
	r.failure = err
	r.stopped = true
	r.emit(logger.ControlDiskFailed, logger.F("error", err))
	r.running = false
	r.work.Broadcast()
	r.signalChange()
}

// open opens the log. It sets a damaged log aside and opens an empty one under a new
// identity.
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

// start initializes the state from the log and the newest snapshot.
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
	r.resetElectionTimer()
	if r.isOnlyVoter() {
		r.randomizedTimeout = 0 // There is no leader to wait for.
	}
	r.running = true
	r.updatePeers()
	r.emit(logger.ControlLogOpened, logger.F("term", r.term), logger.F("last", r.lastIndex()), logger.F("commit", r.commit),
		logger.F("applied", r.applied), logger.F("members", r.memberNames()))
	return nil
}

// stop ends the background goroutines and all waiting calls.
func (r *Replicator) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = false
	r.stopped = true
	r.failWaiters(math.MaxUint64, ErrStopped)
	r.work.Broadcast()
	r.signalChange()
}

// tickLoop calls tick at each heartbeat until ctx ends or the host fails.
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

// tick advances the clock to now, by at most two heartbeats however far now has jumped, and
// by one if it has jumped back. It starts heartbeats or a pre-vote if they are due.
func (r *Replicator) tick(now time.Time) {
	passed := now.Sub(r.lastTick)
	r.lastTick = now
	r.clock += min(max(passed, 0), 2*r.Heartbeat)
	if passed < 0 {
		r.clock += r.Heartbeat
	}
	if r.diskFull {
		r.work.Broadcast()
	}
	if r.role == leader {
		r.sendHeartbeats()
		return
	}
	if r.clock-r.lastContact >= r.randomizedTimeout && !r.installing {
		r.startPreVote()
	}
}
