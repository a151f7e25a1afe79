package distributor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"storj.io/drpc"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testHost is a distributor over a local state instead of the replicated log.
type testHost struct {
	t *testing.T
	d *Distributor
	// confirm stands in for the quorum in the distributor's quorum reads.
	confirm func(ctx context.Context) error

	mu    sync.Mutex
	state *registrar.State
}

func newTestHost(t *testing.T, confirm func(ctx context.Context) error) *testHost {
	t.Helper()
	h := &testHost{t: t, state: registrar.NewState(), confirm: confirm}
	h.d = &Distributor{Host: "c-1", Propose: h.propose, ConfirmEvery: time.Millisecond, SilenceTimeout: time.Hour}
	h.d.ConfirmRead = func(ctx context.Context) (uint64, error) {
		h.mu.Lock()
		index := h.state.Index()
		h.mu.Unlock()
		return index, h.confirm(ctx)
	}
	return h
}

// run runs the distributor until the test ends.
func (h *testHost) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.d.Run(ctx) }()
	h.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			h.t.Error(err)
		}
	})
}

func (h *testHost) propose(_ context.Context, c registrar.Command) (registrar.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return registrar.Result{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	encoded, changes := h.state.Apply(h.state.Index()+1, data)
	h.d.Publish(h.state.View(), changes)
	return registrar.DecodeResult(encoded)
}

func (h *testHost) toggleMark(server string) {
	h.t.Helper()
	h.mu.Lock()
	m := h.state.View().Mark(server)
	h.mu.Unlock()
	c := registrar.Command{SetMark: &registrar.SetMark{Server: server, Replaces: m.Number, Leaving: !m.Leaving}}
	if _, err := h.propose(context.Background(), c); err != nil {
		h.t.Fatal(err)
	}
}

// fakeStream is the follower's end of a stream.
type fakeStream struct {
	drpc.Stream
	ctx  context.Context
	up   chan *messenger.FollowUp
	down chan *messenger.FollowDown
	// ended is closed when Follow has returned.
	ended chan struct{}
}

// Context returns the stream's context.
func (s *fakeStream) Context() context.Context { return s.ctx }

// Recv returns the follower's next message.
func (s *fakeStream) Recv() (*messenger.FollowUp, error) {
	select {
	case m := <-s.up:
		return m, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

// Send sends a message to the follower.
func (s *fakeStream) Send(m *messenger.FollowDown) error {
	select {
	case s.down <- m:
		return nil
	case <-s.ctx.Done():
		return io.EOF
	}
}

// follow opens a stream that ends with the test.
func (h *testHost) follow(name string, role registrar.Role, incarnation, index uint64) *fakeStream {
	h.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &fakeStream{
		ctx: ctx, up: make(chan *messenger.FollowUp, 16), down: make(chan *messenger.FollowDown, 1024), ended: make(chan struct{}),
	}
	info := &messenger.MemberInfo{Name: name, Role: string(role), Incarnation: incarnation}
	s.up <- &messenger.FollowUp{Body: &messenger.FollowUp_Hello{Hello: &messenger.Hello{Member: info, Index: index}}}
	go func() {
		defer close(s.ended)
		if err := h.d.Follow(s); err != nil && ctx.Err() == nil {
			h.t.Errorf("follow: %v", err)
		}
	}()
	h.t.Cleanup(func() {
		cancel()
		<-s.ended
	})
	return s
}

func (s *fakeStream) heartbeat(sequence, index uint64) {
	beat := &messenger.Heartbeat{Sequence: sequence, Index: index}
	s.up <- &messenger.FollowUp{Body: &messenger.FollowUp_Heartbeat{Heartbeat: beat}}
}

// next returns the next message that pick accepts and skips all others.
func (s *fakeStream) next(t *testing.T, what string, pick func(*messenger.FollowDown) bool) *messenger.FollowDown {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case m := <-s.down:
			if pick(m) {
				return m
			}
		case <-timeout:
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func isFresh(m *messenger.FollowDown) bool   { return m.GetFresh() != nil }
func isWelcome(m *messenger.FollowDown) bool { return m.GetWelcome() != nil }

func quorumConfirms(context.Context) error { return nil }

func TestFirstMessagesOfAFollower(t *testing.T) {
	h := newTestHost(t, quorumConfirms)
	for range 10 {
		h.toggleMark("engine-1")
	}
	h.run()
	h.d.mu.Lock()
	// Drops the oldest changes.
	h.d.changes, h.d.floor = h.d.changes[6:], 6
	h.d.mu.Unlock()
	for _, tc := range []struct {
		name     string
		index    uint64
		snapshot bool
		marks    []uint64
	}{
		{"knows nothing", 0, true, []uint64{10}},
		{"too far behind", 5, true, []uint64{10}},
		{"at the oldest kept change", 6, false, []uint64{7, 8, 9, 10}},
		{"a little behind", 9, false, []uint64{10}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := h.follow(tc.name, registrar.RoleAgent, 1, tc.index)
			m := s.next(t, "state", func(m *messenger.FollowDown) bool { return m.GetSnapshot() != nil || m.GetChanges() != nil })
			var marks []uint64
			for _, mark := range m.GetSnapshot().GetMarks() {
				marks = append(marks, mark.GetNumber())
			}
			for _, c := range m.GetChanges().GetChanges() {
				if c.GetMark() != nil {
					marks = append(marks, c.GetMark().GetNumber())
				}
			}
			if diff := cmp.Diff(tc.marks, marks); diff != "" || tc.snapshot != (m.GetSnapshot() != nil) {
				t.Errorf("snapshot %v, marks (-want +got):\n%s", m.GetSnapshot() != nil, diff)
			}
		})
	}
}

func TestFollowerAheadOfItsHostGetsNoOldChanges(t *testing.T) {
	h := newTestHost(t, quorumConfirms)
	h.toggleMark("engine-1")
	h.run()
	const ahead = 50
	s := h.follow("entry-1", registrar.RoleEntry, 1, ahead)
	s.heartbeat(1, ahead)
	s.next(t, "welcome", isWelcome)
	for h.d.View().Index < ahead+1 {
		h.toggleMark("engine-1")
	}
	s.heartbeat(2, ahead)
	m := s.next(t, "changes", func(m *messenger.FollowDown) bool {
		if m.GetSnapshot() != nil || isFresh(m) && m.GetFresh().GetIndex() < ahead {
			t.Errorf("sent to a follower at %d: %v", ahead, m)
		}
		return m.GetChanges() != nil
	})
	for _, c := range m.GetChanges().GetChanges() {
		if c.GetIndex() <= ahead {
			t.Errorf("sent index %d to a follower at %d", c.GetIndex(), ahead)
		}
	}
}

func TestFreshnessNeedsAQuorumThatAnswersAfterTheHeartbeat(t *testing.T) {
	asked, answer := make(chan struct{}), make(chan error)
	h := newTestHost(t, func(ctx context.Context) error {
		select {
		case asked <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case err := <-answer:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	h.run()
	s := h.follow("agent-1", registrar.RoleAgent, 1, 0)
	s.heartbeat(1, 0)
	<-asked
	// This one comes during the quorum read, too late to be confirmed by it.
	s.heartbeat(2, 0)
	answer <- errors.New("no quorum")
	<-asked
	s.heartbeat(3, 0)
	for h.lastHeartbeat("agent-1") < 3 {
		time.Sleep(time.Millisecond)
	}
	answer <- nil
	if got := s.next(t, "freshness", isFresh).GetFresh().GetSequence(); got != 2 {
		t.Errorf("confirmed heartbeat %d, want 2: the read for 1 failed, and 3 came after the read began", got)
	}
	<-asked
	answer <- nil
	if got := s.next(t, "freshness", isFresh).GetFresh().GetSequence(); got != 3 {
		t.Errorf("confirmed heartbeat %d, want 3", got)
	}
}

// lastHeartbeat returns the highest heartbeat sequence received from a follower.
func (h *testHost) lastHeartbeat(name string) uint64 {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	for s := range h.d.sessions {
		if s.member.Name == name {
			return s.lastHeartbeat
		}
	}
	return 0
}

// live reports whether a member is in the view.
func (h *testHost) live(name string) bool {
	_, ok := h.d.View().Member(name)
	return ok
}

func (h *testHost) eventually(what string, ok func() bool) {
	h.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	h.t.Fatalf("timed out waiting for: %s", what)
}

func TestSilentFollowersAreRemoved(t *testing.T) {
	h := newTestHost(t, quorumConfirms)
	h.d.SilenceTimeout = 100 * time.Millisecond
	h.run()
	active := h.follow("engine-1", registrar.RoleAgent, 1, 0)
	h.follow("engine-2", registrar.RoleAgent, 1, 0)
	leaving := h.follow("engine-3", registrar.RoleAgent, 1, 0)
	h.eventually("all three", func() bool { return h.live("engine-1") && h.live("engine-2") && h.live("engine-3") })
	leaving.up <- &messenger.FollowUp{Body: &messenger.FollowUp_Goodbye{Goodbye: &messenger.Goodbye{}}}
	sequence := uint64(0)
	h.eventually("the removal of those that are silent or said goodbye", func() bool {
		sequence++
		active.heartbeat(sequence, 0)
		for len(active.down) > 0 {
			<-active.down
		}
		return !h.live("engine-2") && !h.live("engine-3")
	})
	if !h.live("engine-1") {
		t.Error("a member that sends heartbeats was removed")
	}
}

func TestNewerIncarnationTakesOver(t *testing.T) {
	h := newTestHost(t, quorumConfirms)
	h.run()
	first := h.follow("engine-1", registrar.RoleAgent, 5, 0)
	first.next(t, "welcome", isWelcome)
	second := h.follow("engine-1", registrar.RoleAgent, 6, 0)
	second.next(t, "welcome", isWelcome)
	<-first.ended
	late := h.follow("engine-1", registrar.RoleAgent, 5, 0)
	if got := late.next(t, "welcome", isWelcome).GetWelcome().GetNewerIncarnation(); got != 6 {
		t.Errorf("the late session was told of incarnation %d, want 6", got)
	}
	late.heartbeat(1, 99)
	h.eventually("the late heartbeat", func() bool { return h.lastHeartbeat("engine-1") > 0 })
	for _, f := range h.d.Followers(time.Now()).GetFollowers() {
		if f.GetIncarnation() != 6 || f.GetIndex() != 0 {
			t.Errorf("the late session overwrote the newer incarnation's record: %v", f)
		}
	}
	if m, _ := h.d.View().Member("engine-1"); m.Incarnation != 6 {
		t.Errorf("incarnation %d in the state, want 6", m.Incarnation)
	}
}

func TestMarksAreRelayedByEntries(t *testing.T) {
	h := newTestHost(t, quorumConfirms)
	h.run()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	mark := &messenger.MarkRequest{Server: "engine-1", Number: 3, Leaving: true}
	if _, _, err := h.d.RelayMark(ctx, "127.0.0.1:9", mark); err == nil {
		t.Error("a mark was relayed without an entry")
	}
	entry := h.follow("entry-1", registrar.RoleEntry, 1, 0)
	entry.next(t, "welcome", isWelcome)
	go func() {
		for m := range entry.down {
			if r := m.GetRelay(); r != nil {
				reply := &messenger.RelayedMark{Id: r.GetId(), Reply: &messenger.MarkReply{Number: r.GetMark().GetNumber()}}
				// An answer to an unknown relay and a duplicate are ignored.
				entry.up <- &messenger.FollowUp{Body: &messenger.FollowUp_Relayed{Relayed: &messenger.RelayedMark{Id: 77}}}
				entry.up <- &messenger.FollowUp{Body: &messenger.FollowUp_Relayed{Relayed: reply}}
				entry.up <- &messenger.FollowUp{Body: &messenger.FollowUp_Relayed{Relayed: reply}}
				return
			}
		}
	}()
	reply, by, err := h.d.RelayMark(ctx, "127.0.0.1:9", mark)
	if err != nil || reply.GetNumber() != 3 || by != "entry-1" {
		t.Errorf("answer %v by %q, %v", reply, by, err)
	}
}

func TestLoadTable(t *testing.T) {
	var a, b loadTable
	a.set(300, 7, true)
	a.set(2, 9, true)
	a.set(5, 1, false)
	b.set(2, 4, true)
	b.setBatch(a.batch(0, true))
	if diff := cmp.Diff("map[2:4 300:7]", fmt.Sprint(b.values())); diff != "" {
		t.Errorf("an agent's own load takes precedence over a forwarded one (-want +got):\n%s", diff)
	}
	b.clearOwn(2)
	b.setBatch(a.batch(0, true))
	if diff := cmp.Diff("map[2:9 300:7]", fmt.Sprint(b.values())); diff != "" {
		t.Errorf("after the agent moved (-want +got):\n%s", diff)
	}
	sent := a.sequence
	a.set(2, 9, true)
	if batch := a.batch(sent, false); batch != nil {
		t.Errorf("an unchanged load is sent again: %v", batch)
	}
}

func (t *loadTable) values() map[uint32]uint32 {
	loads := make(map[uint32]uint32)
	for ordinal, l := range t.loads {
		loads[ordinal] = l.load
	}
	return loads
}
