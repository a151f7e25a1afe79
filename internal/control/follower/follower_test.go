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

// fakeHost is a control host whose stream a test writes.
type fakeHost struct {
	messenger.DRPCControlUnimplementedServer
	address string
	// serve answers one stream after its hello.
	serve func(hello *messenger.Hello, stream messenger.DRPCControl_FollowStream) error

	mu     sync.Mutex
	hellos []*messenger.Hello
}

// Follow keeps the hello and lets the test serve.
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

// newFakeHost starts a control host that serves streams so.
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
	t.Fatalf("never came: %s", what)
}

// confirming answers each heartbeat as a quorum would, at index, until the stream ends.
func confirming(stream messenger.DRPCControl_FollowStream, index uint64) error {
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

// silent reads and never answers.
func silent(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
}

// marksUpTo returns changes that mark a server, one for each index in order.
func marksUpTo(indexes ...uint64) *messenger.FollowDown {
	m := &messenger.Changes{}
	for _, index := range indexes {
		mark := registrar.Mark{Server: "engine-1", Number: index, Leaving: index%2 == 1}
		m.Index = max(m.Index, index)
		m.Changes = append(m.Changes, &messenger.Change{Index: index, Body: &messenger.Change_Mark{Mark: translator.MarkTo(mark)}})
	}
	return &messenger.FollowDown{Body: &messenger.FollowDown_Changes{Changes: m}}
}

// newTestFollower returns a follower in a hurry, whose first address is the first host.
func newTestFollower(hosts ...string) *Follower {
	f := &Follower{
		Addresses: hosts, HeartbeatEvery: 10 * time.Millisecond, StaleAfter: 150 * time.Millisecond, FreshFor: 400 * time.Millisecond,
		Self: registrar.Member{Role: registrar.RoleAgent, Incarnation: 7},
	}
	for i := range 100 {
		f.Self.Name = string(rune('a'+i%26)) + string(rune('a'+i/26))
		if f.start() == 0 {
			return f
		}
	}
	return f
}

func TestLeavesSilentHosts(t *testing.T) {
	good := newFakeHost(t, func(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
		if err := stream.Send(marksUpTo(5)); err != nil {
			return err
		}
		return confirming(stream, 5)
	})
	// A host behind a silent partition takes connections and bytes, and never answers.
	hole, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns []net.Conn
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			conn, err := hole.Accept()
			if err != nil {
				return
			}
			conns = append(conns, conn)
		}
	}()
	defer func() {
		hole.Close()
		<-accepted
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for _, tc := range []struct{ name, first string }{
		{"stream without answers", newFakeHost(t, silent).address},
		{"bytes without answers", hole.Addr().String()},
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
	// It still sends changes that it has, but no quorum confirms it.
	stale := newFakeHost(t, func(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
		if err := stream.Send(marksUpTo(3)); err != nil {
			return err
		}
		return silent(nil, stream)
	})
	good := newFakeHost(t, func(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
		if err := stream.Send(marksUpTo(4)); err != nil {
			return err
		}
		return confirming(stream, 4)
	})
	f := newTestFollower(stale.address, good.address)
	background(t, f.Run)
	eventually(t, "what the stale host knows", func() bool { return f.View().Mark("engine-1").Number >= 3 })
	if f.View().Mark("engine-1").Number == 3 && f.Fresh(time.Now()) {
		t.Error("fresh without a quorum")
	}
	eventually(t, "the good host", func() bool { return f.Fresh(time.Now()) && f.View().Index == 4 })
	if got := good.lastHello().GetIndex(); got != 3 {
		t.Errorf("the good host was told of index %d, want 3", got)
	}
}

func TestFreshnessRunsOut(t *testing.T) {
	var once sync.Once
	cut := make(chan struct{})
	host := newFakeHost(t, func(_ *messenger.Hello, stream messenger.DRPCControl_FollowStream) error {
		select {
		case <-cut:
			return silent(nil, stream)
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
		t.Error("fresh before anything was heard")
	}
	background(t, f.Run)
	eventually(t, "freshness", func() bool { return f.Fresh(time.Now()) })
	once.Do(func() { close(cut) })
	eventually(t, "the end of freshness", func() bool { return !f.Fresh(time.Now()) })
	if f.View().Index != 1 {
		t.Errorf("the view was lost: index %d", f.View().Index)
	}
}

func TestAMarkOfFreshnessCountsFromItsHeartbeat(t *testing.T) {
	f := newTestFollower("127.0.0.1:1")
	f.init()
	sent := time.Now()
	c := &connection{f: f, sent: map[uint64]time.Time{1: sent, 2: sent.Add(time.Second)}}
	late := sent.Add(time.Minute)
	for _, tc := range []struct {
		name     string
		sequence uint64
		want     time.Time
	}{
		{"a late answer counts from when the heartbeat was sent", 1, sent},
		{"a doubled answer changes nothing", 1, sent},
		{"an answer to no heartbeat changes nothing", 99, sent},
		{"the next one", 2, sent.Add(time.Second)},
		{"a reordered older one changes nothing", 1, sent.Add(time.Second)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := c.takeFresh(&messenger.Fresh{Sequence: tc.sequence, Index: 1}, late); err != nil {
				t.Fatal(err)
			}
			if !f.FreshAt().Equal(tc.want) {
				t.Errorf("fresh at %v, want %v", f.FreshAt(), tc.want)
			}
		})
	}
}

func TestNeverAppliesALowerIndex(t *testing.T) {
	f := newTestFollower("127.0.0.1:1")
	f.init()
	c := &connection{f: f, sent: make(map[uint64]time.Time)}
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
		{"changes", marksUpTo(3, 5), 5, 5, nil},
		{"the same again", marksUpTo(3, 5), 5, 5, nil},
		{"older ones late", marksUpTo(1, 2), 5, 5, nil},
		{"older and newer ones together", marksUpTo(4, 6), 6, 6, nil},
		{"a mark of freshness below", fresh(4), 6, 6, errFell},
		{"a snapshot below", snapshot(4, 4, false), 6, 6, errFell},
		{"a part of a snapshot", snapshot(8, 8, true), 6, 6, nil},
		{"its end", snapshot(8, 8, false), 8, 8, nil},
		{"a mark of freshness above", fresh(11), 11, 8, nil},
		{"changes below that", marksUpTo(9), 11, 8, nil},
		{"the next ones", marksUpTo(12), 12, 12, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := c.take(context.Background(), tc.m); !errors.Is(err, tc.err) {
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
	if err := c.takeWelcome(&messenger.Welcome{NewerIncarnation: 20}); !errors.Is(err, errNewer) {
		t.Fatalf("a newer one known before the first welcome: %v", err)
	}
	if got := f.Member().Incarnation; got != 21 || f.Superseded() {
		t.Fatalf("incarnation %d after a clock fell back, want 21", got)
	}
	select {
	case <-f.Settled():
		t.Fatal("settled before control accepted it")
	default:
	}
	for range 2 {
		if err := c.takeWelcome(&messenger.Welcome{}); err != nil || f.Superseded() {
			t.Fatalf("welcome: %v", err)
		}
	}
	<-f.Settled()
	if err := c.takeWelcome(&messenger.Welcome{NewerIncarnation: 30}); err != nil || !f.Superseded() {
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
			t.Errorf("%+v came back as %+v", l, got)
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
		t.Errorf("claim after a refused connection and a failed try: %v, %v, %d calls", reply, err, host.calls)
	}
	gone, cancelGone := context.WithCancel(context.Background())
	cancelGone()
	var unavailable *UnavailableError
	if _, err := f.Claim(gone, &messenger.ClaimRequest{}); !errors.As(err, &unavailable) {
		t.Errorf("without time: %v", err)
	}
}

// claimHost fails the first claim and grants the next.
type claimHost struct {
	messenger.DRPCControlUnimplementedServer
	calls int
}

// Claim answers one claim; calls come one after the other.
func (h *claimHost) Claim(_ context.Context, _ *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	h.calls++
	if h.calls == 1 {
		return nil, errors.New("no leader yet")
	}
	return &messenger.ClaimReply{Status: messenger.ClaimStatus_CLAIM_STATUS_GRANTED}, nil
}

func TestOnlyChangesAreTold(t *testing.T) {
	f := newTestFollower("127.0.0.1:1")
	self := f.Member()
	self.Backend.Models = []registrar.LoadedModel{{Model: "rota-large"}}
	for range 3 {
		f.SetSelf(self)
		f.SetReport(&messenger.Report{MarkNumber: 1, InProgress: 2})
	}
	if f.described != 1 || f.reported != 1 {
		t.Errorf("%d descriptions and %d reports to send, want one of each", f.described, f.reported)
	}
}
