package linker

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

var start = time.Unix(1000, 0)

func introduction(n int, hub, bootstrap bool) *messenger.IntroduceRequest {
	return &messenger.IntroduceRequest{Bootstrap: bootstrap, Host: &messenger.FleetHost{
		Name: fmt.Sprint("host-", n), Address: fmt.Sprintf("10.0.0.%d:7000", n), Hub: hub,
	}}
}

// newLinker returns the linker of the first seed, or of another seed.
func newLinker(first bool) *Linker {
	seeds := []string{"10.0.0.3:7000", "10.0.0.1:7000", "10.0.0.2:7000"}
	self := introduction(2, true, true).Host
	if first {
		self = introduction(1, true, true).Host
	}
	l := newBareLinker()
	l.Self, l.Seeds, l.Bootstrap, l.MinFounders = self, func() []string { return seeds }, true, 3
	return l
}

func TestFounders(t *testing.T) {
	type arrival struct {
		after     time.Duration
		host      int
		hub       bool
		bootstrap bool
	}
	tests := []struct {
		name     string
		first    bool
		arrivals []arrival
		want     int
	}{
		{"too few hubs", true, []arrival{{0, 1, true, true}, {time.Second, 2, true, true}}, 0},
		{"enough, but the last one was just added", true, []arrival{
			{0, 1, true, true}, {0, 2, true, true}, {0, 3, true, true}, {100 * time.Millisecond, 1, true, true},
		}, 0},
		{"enough, and none added since", true, []arrival{
			{0, 1, true, true}, {0, 2, true, true}, {0, 3, true, true}, {time.Second, 1, true, true},
		}, 3},
		{"hosts without a disk do not count", true, []arrival{
			{0, 1, true, true}, {0, 2, true, true}, {0, 3, false, true}, {time.Second, 1, true, true},
		}, 0},
		{"hubs added later do not count", true, []arrival{
			{0, 1, true, true}, {0, 2, true, true}, {0, 3, true, true}, {time.Second, 1, true, true}, {time.Second, 4, true, true},
		}, 3},
		{"fewer after a long wait", true, []arrival{{0, 1, true, true}, {0, 2, true, true}, {7 * time.Second, 1, true, true}}, 2},
		{"another seed does not decide", false, []arrival{
			{0, 1, true, true}, {0, 2, true, true}, {0, 3, true, true}, {time.Second, 1, true, true},
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLinker(tt.first)
			var got []*messenger.FleetHost
			for _, a := range tt.arrivals {
				got = l.HandleIntroduction(start.Add(a.after), introduction(a.host, a.hub, a.bootstrap)).Founders
			}
			if len(got) != tt.want {
				t.Errorf("%d founders, want %d", len(got), tt.want)
			}
		})
	}
}

func TestFoundersAreNotReturnedToAHostThatIsNotBootstrapping(t *testing.T) {
	l := newLinker(true)
	for n := 1; n <= 3; n++ {
		l.HandleIntroduction(start, introduction(n, true, true))
	}
	if got := l.HandleIntroduction(start.Add(time.Second), introduction(1, true, true)).Founders; len(got) != 3 {
		t.Fatalf("%d founders, want 3", len(got))
	}
	if got := l.HandleIntroduction(start.Add(time.Second), introduction(2, true, false)).Founders; len(got) != 0 {
		t.Errorf("a hub that lost its disk got %d founders", len(got))
	}
}

func TestHubsAreLearnedAndCanChangeAddress(t *testing.T) {
	l := newLinker(false)
	l.HandleIntroduction(start, introduction(5, true, false))
	l.HandleIntroduction(start, introduction(6, false, false))
	moved := introduction(5, true, false)
	moved.Host.Address = "10.0.0.9:7000"
	l.HandleIntroduction(start, moved)
	hubs := l.Hubs()
	if len(hubs) != 1 || hubs[0].Address != "10.0.0.9:7000" {
		t.Errorf("hubs are %v", hubs)
	}
}

// acceptConnections returns the address of a listener and a channel that gets a value for each
// connection to it.
func acceptConnections(t *testing.T) (address string, accepted <-chan struct{}) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ch := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
			ch <- struct{}{}
		}
	}()
	return listener.Addr().String(), ch
}

// After all hosts restarted at once, a hub may start before the seeds, and the seeds may be hosts
// that know of no hub until one introduces itself.
func TestLoneHubKeepsIntroducingItself(t *testing.T) {
	seed, toSeed := acceptConnections(t)
	member, toMember := acceptConnections(t)
	l := newBareLinker()
	l.Self = introduction(1, true, false).Host
	l.Seeds = func() []string { return []string{seed} }
	l.Remembered = func() []string { return []string{member} }
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go l.Run(ctx)
	for name, accepted := range map[string]<-chan struct{}{"seed": toSeed, "remembered hub": toMember} {
		for i := range 3 {
			select {
			case <-accepted:
			case <-time.After(2 * time.Second):
				t.Fatalf("only %d introductions to the %s of a hub without links", i, name)
			}
		}
	}
}

// A hub may be forgotten and introduced again before the goroutine that dials it has noticed.
func TestHubIsDialedByOneGoroutine(t *testing.T) {
	l := newBareLinker()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.HandleIntroduction(start, introduction(5, true, false))
	l.dialHubs(ctx, start)
	l.dialHubs(ctx, start.Add(2*hubExpiry))
	l.HandleIntroduction(start, introduction(5, true, false))
	if l.hubs["host-5"] == nil || !l.dialing["host-5"] {
		t.Error("the goroutine that still dials the hub is forgotten")
	}
}
