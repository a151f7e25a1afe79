package follower

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/translator"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeHost is a control host whose side of the stream is written by the test.
type fakeHost struct {
	messenger.DRPCControlUnimplementedServer
	address string
	// serve serves one stream after its hello.
	serve func(hello *messenger.Hello, stream messenger.DRPCControl_FollowStream) error

	mu     sync.Mutex
	hellos []*messenger.Hello
}

// Follow records the hello and calls serve.
func (h *fakeHost) Follow(stream messenger.DRPCControl_FollowStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.hellos = append(h.hellos, first.GetHello())
	h.mu.Unlock()
	return h.serve(first.GetHello(), stream)
}

func (h *fakeHost) lastHello() *messenger.Hello {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hellos[len(h.hellos)-1]
}

// newFakeHost starts a control host that serves each stream with serve.
func newFakeHost(t *testing.T, serve func(*messenger.Hello, messenger.DRPCControl_FollowStream) error) *fakeHost {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeHost{address: lis.Addr().String(), serve: serve}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterControl(mux, h); err != nil {
		t.Fatal(err)
	}
	background(t, func(ctx context.Context) error { return drpcserver.New(mux).Serve(ctx, lis) })
	return h
}

// background runs f until the test ends.
func background(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("background: %v", err)
		}
	})
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// confirmHeartbeats answers each heartbeat as a quorum would, at index, until the stream ends.
func confirmHeartbeats(stream messenger.DRPCControl_FollowStream, index uint64) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if m.GetHeartbeat() == nil {
			continue
		}
		fresh := &messenger.Fresh{Sequence: m.GetHeartbeat().GetSequence(), Index: index}
		if err := stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Fresh{Fresh: fresh}}); err != nil {
			return err
		}
	}
}

// neverAnswer reads and never answers.
func neverAnswer(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
}

// markChanges returns changes that mark a server, one for each index in order.
func markChanges(indexes ...uint64) *messenger.FollowDown {
	m := &messenger.Changes{}
	for _, index := range indexes {
		mark := registrar.Mark{Server: "engine-1", Number: index, Leaving: index%2 == 1}
		m.Index = max(m.Index, index)
		m.Changes = append(m.Changes, &messenger.Change{Index: index, Body: &messenger.Change_Mark{Mark: translator.MarkTo(mark)}})
	}
	return &messenger.FollowDown{Body: &messenger.FollowDown_Changes{Changes: m}}
}

// newTestFollower returns a follower with short timeouts that starts at the first host.
func newTestFollower(hosts ...string) *Follower {
	f := &Follower{
		Addresses: hosts, HeartbeatEvery: 10 * time.Millisecond, StaleAfter: 150 * time.Millisecond, FreshFor: 400 * time.Millisecond,
		Self: registrar.Member{Role: registrar.RoleAgent, Incarnation: 7},
	}
	for i := range 100 {
		f.Self.Name = string(rune('a'+i%26)) + string(rune('a'+i/26))
		if f.firstHost() == 0 {
			return f
		}
	}
	return f
}

func TestLeavesSilentHosts(t *testing.T) {
	good := newFakeHost(t, func(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
		if err := stream.Send(markChanges(5)); err != nil {
			return err
		}
		return confirmHeartbeats(stream, 5)
	})
	// A host behind a silent partition accepts connections and bytes, and never answers.
	silentListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns []net.Conn
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			conn, err := silentListener.Accept()
			if err != nil {
				return
			}
			conns = append(conns, conn)
		}
	}()
	defer func() {
		silentListener.Close()
		<-accepted
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for _, tc := range []struct{ name, first string }{
		{"stream without answers", newFakeHost(t, neverAnswer).address},
		{"bytes without answers", silentListener.Addr().String()},
		{"refused connection", refusedAddress(t)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFollower(tc.first, good.address)
			background(t, f.Run)
			eventually(t, "freshness by the good host", func() bool {
				return f.Fresh(time.Now()) && f.View().Mark("engine-1").Number == 5
			})
		})
	}
}

func refusedAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

func TestLeavesAHostWithoutQuorum(t *testing.T) {
	// The stale host still sends its changes, but never a confirmation.
	stale := newFakeHost(t, func(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
		if err := stream.Send(markChanges(3)); err != nil {
			return err
		}
		return neverAnswer(nil, stream)
	})
	good := newFakeHost(t, func(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
		if err := stream.Send(markChanges(4)); err != nil {
			return err
		}
		return confirmHeartbeats(stream, 4)
	})
	f := newTestFollower(stale.address, good.address)
	background(t, f.Run)
	eventually(t, "the stale host's mark", func() bool { return f.View().Mark("engine-1").Number >= 3 })
	if f.View().Mark("engine-1").Number == 3 && f.Fresh(time.Now()) {
		t.Error("fresh without a quorum")
	}
	eventually(t, "the good host", func() bool { return f.Fresh(time.Now()) && f.View().Index == 4 })
	if got := good.lastHello().GetIndex(); got != 3 {
		t.Errorf("the good host was told of index %d, want 3", got)
	}
}

func TestFreshnessExpires(t *testing.T) {
	var once sync.Once
	cut := make(chan struct{})
	host := newFakeHost(t, func(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
		select {
		case <-cut:
			return neverAnswer(nil, stream)
		default:
		}
		for {
			m, err := stream.Recv()
			if err != nil {
				return err
			}
			select {
			case <-cut:
				continue
			default:
			}
			if h := m.GetHeartbeat(); h != nil {
				_ = stream.Send(&messenger.FollowDown{Body: &messenger.FollowDown_Fresh{Fresh: &messenger.Fresh{Sequence: h.GetSequence(), Index: 1}}})
			}
		}
	})
	f := newTestFollower(host.address)
	if f.Fresh(time.Now()) {
		t.Error("fresh before the first message")
	}
	background(t, f.Run)
	eventually(t, "freshness", func() bool { return f.Fresh(time.Now()) })
	once.Do(func() { close(cut) })
	eventually(t, "the end of freshness", func() bool { return !f.Fresh(time.Now()) })
	if f.View().Index != 1 {
		t.Errorf("index %d after the freshness expired, want 1", f.View().Index)
	}
}

func TestFreshnessCountsFromTheHeartbeat(t *testing.T) {
	f := newTestFollower("127.0.0.1:1")
	f.init()
	sent := time.Now()
	c := &connection{f: f, unconfirmed: map[uint64]time.Time{1: sent, 2: sent.Add(time.Second)}}
	late := sent.Add(time.Minute)
	for _, tc := range []struct {
		name     string
		sequence uint64
		want     time.Time
	}{
		{"a late confirmation counts from when the heartbeat was sent", 1, sent},
		{"a duplicate changes nothing", 1, sent},
		{"a confirmation of an unknown heartbeat changes nothing", 99, sent},
		{"the next confirmation", 2, sent.Add(time.Second)},
		{"a reordered older confirmation changes nothing", 1, sent.Add(time.Second)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := c.handleFresh(&messenger.Fresh{Sequence: tc.sequence, Index: 1}, late); err != nil {
				t.Fatal(err)
			}
			if !f.ConfirmedAt().Equal(tc.want) {
				t.Errorf("confirmed at %v, want %v", f.ConfirmedAt(), tc.want)
			}
		})
	}
}

func TestNeverAppliesALowerIndex(t *testing.T) {
	f := newTestFollower("127.0.0.1:1")
	f.init()
	c := &connection{f: f, unconfirmed: make(map[uint64]time.Time)}
	snapshot := func(index, number uint64, more bool) *messenger.FollowDown {
		s := &messenger.Snapshot{Index: index, More: more}
		s.Marks = append(s.Marks, translator.MarkTo(registrar.Mark{Server: "engine-1", Number: number}))
		return &messenger.FollowDown{Body: &messenger.FollowDown_Snapshot{Snapshot: s}}
	}
	fresh := func(index uint64) *messenger.FollowDown {
		return &messenger.FollowDown{Body: &messenger.FollowDown_Fresh{Fresh: &messenger.Fresh{Index: index}}}
	}
	for _, tc := range []struct {
		name          string
		m             *messenger.FollowDown
		index, number uint64
		err           error
	}{
		{"changes", markChanges(3, 5), 5, 5, nil},
		{"the same changes again", markChanges(3, 5), 5, 5, nil},
		{"older changes", markChanges(1, 2), 5, 5, nil},
		{"older and newer changes together", markChanges(4, 6), 6, 6, nil},
		{"a confirmation of a lower index", fresh(4), 6, 6, errIndexFell},
		{"a snapshot at a lower index", snapshot(4, 4, false), 6, 6, errIndexFell},
		{"the first part of a snapshot", snapshot(8, 8, true), 6, 6, nil},
		{"the last part of the snapshot", snapshot(8, 8, false), 8, 8, nil},
		{"a confirmation of a higher index", fresh(11), 11, 8, nil},
		{"changes below the confirmed index", markChanges(9), 11, 8, nil},
		{"newer changes", markChanges(12), 12, 12, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := c.handle(context.Background(), tc.m); !errors.Is(err, tc.err) {
				t.Fatalf("error %v, want %v", err, tc.err)
			}
			if v := f.View(); v.Index != tc.index || v.Mark("engine-1").Number != tc.number {
				t.Errorf("index %d and mark %d, want %d and %d", v.Index, v.Mark("engine-1").Number, tc.index, tc.number)
			}
		})
	}
}

func TestIncarnations(t *testing.T) {
	f := newTestFollower("127.0.0.1:1")
	f.init()
	c := &connection{f: f}
	if err := c.handleWelcome(&messenger.Welcome{NewerIncarnation: 20}); !errors.Is(err, errNewerIncarnation) {
		t.Fatalf("a newer incarnation known before the first welcome: %v", err)
	}
	if got := f.Member().Incarnation; got != 21 || f.Superseded() {
		t.Fatalf("incarnation %d after a clock went back, want 21", got)
	}
	select {
	case <-f.Accepted():
		t.Fatal("Accepted closed before control accepted the incarnation")
	default:
	}
	for range 2 {
		if err := c.handleWelcome(&messenger.Welcome{}); err != nil || f.Superseded() {
			t.Fatalf("welcome: %v", err)
		}
	}
	<-f.Accepted()
	if err := c.handleWelcome(&messenger.Welcome{NewerIncarnation: 30}); err != nil || !f.Superseded() {
		t.Errorf("after another process took the name: superseded %v, %v", f.Superseded(), err)
	}
}

func TestLoadsArePackedCoarsely(t *testing.T) {
	for _, l := range []Load{
		{}, {Used: 1, Expected: 1, Running: 3, Waiting: 3, Leaving: true}, {Used: 0.5, Running: 100, Waiting: 4},
	} {
		got := UnpackLoad(PackLoad(l))
		if got.Leaving != l.Leaving || got.Running < l.Running || got.Running > l.Running*3/2 || got.Waiting < l.Waiting ||
			got.Used < l.Used-0.02 || got.Used > l.Used+0.02 {
			t.Errorf("%+v was unpacked as %+v", l, got)
		}
	}
	if PackLoad(Load{Used: 5, Running: 1 << 30}) >= 1<<21 {
		t.Error("a packed load has more than 21 bits")
	}
}

func TestCallsTryAllHosts(t *testing.T) {
	host := &claimHost{}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterControl(mux, host); err != nil {
		t.Fatal(err)
	}
	background(t, func(ctx context.Context) error { return drpcserver.New(mux).Serve(ctx, lis) })
	f := newTestFollower(refusedAddress(t), lis.Addr().String())
	f.init()
	defer f.pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	reply, err := f.Claim(ctx, &messenger.ClaimRequest{Claimant: "a"})
	if err != nil || reply.GetStatus() != messenger.ClaimStatus_CLAIM_STATUS_GRANTED || host.calls < 2 {
		t.Errorf("claim after a refused connection and a failed attempt: %v, %v, %d calls", reply, err, host.calls)
	}
	canceled, cancelNow := context.WithCancel(context.Background())
	cancelNow()
	var unavailable *UnavailableError
	if _, err := f.Claim(canceled, &messenger.ClaimRequest{}); !errors.As(err, &unavailable) {
		t.Errorf("claim with a canceled context: %v", err)
	}
}

// claimHost fails the first claim and grants later ones.
type claimHost struct {
	messenger.DRPCControlUnimplementedServer
	calls int
}

// Claim answers one claim; calls must not be concurrent.
func (h *claimHost) Claim(_ context.Context, _ *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	h.calls++
	if h.calls == 1 {
		return nil, errors.New("no leader yet")
	}
	return &messenger.ClaimReply{Status: messenger.ClaimStatus_CLAIM_STATUS_GRANTED}, nil
}

func TestOnlyChangesAreSent(t *testing.T) {
	f := newTestFollower("127.0.0.1:1")
	self := f.Member()
	self.Backend.Models = []registrar.LoadedModel{{Model: "rota-large"}}
	for range 3 {
		f.SetSelf(self)
		f.SetReport(&messenger.Report{MarkNumber: 1, InProgress: 2})
	}
	if f.selfVersion != 1 || f.reportVersion != 1 {
		t.Errorf("%d descriptions and %d reports to send, want one of each", f.selfVersion, f.reportVersion)
	}
}

// After a suspension the steady clock tells that no time has passed since the last confirmation.
func TestSuspendedHostIsNotFresh(t *testing.T) {
	f := &Follower{FreshFor: time.Second}
	f.init()
	f.confirmedAt = time.Now()
	if now := f.confirmedAt.Add(time.Millisecond); !f.Fresh(now) {
		t.Fatal("not fresh a millisecond after a confirmation")
	}
	f.Elapsed = func(time.Time, time.Time) time.Duration { return time.Hour }
	if f.Fresh(f.confirmedAt.Add(time.Millisecond)) {
		t.Error("fresh after an hour of suspension")
	}
}
