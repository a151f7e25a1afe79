package linker

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/wire/messenger"
)

// server answers the calls of other hosts for a linker.
type server struct {
	messenger.DRPCFleetUnimplementedServer
	linker *Linker
}

// successorLinkTimeout is half of the time in which a hub must have taken a lost one's place.
const successorLinkTimeout = 2 * time.Second

func (s *server) Introduce(_ context.Context, req *messenger.IntroduceRequest) (*messenger.IntroduceReply, error) {
	return s.linker.HandleIntroduction(time.Now(), req), nil
}

func (s *server) Link(stream messenger.DRPCFleet_LinkStream) error { return s.linker.Accept(stream) }

// startHub runs the linker of a hub that finds others through the seeds.
func startHub(t *testing.T, name string, seeds ...string) *Linker {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startHubAt(t, name, listener, listener.Addr().String(), seeds...)
}

// startHubAt does so on a listener, with the address at which others reach it.
func startHubAt(t *testing.T, name string, listener net.Listener, address string, seeds ...string) *Linker {
	t.Helper()
	l := newBareLinker()
	l.Self = &messenger.FleetHost{Name: name, Address: address, Hub: true}
	l.Seeds = func() []string { return seeds }
	runAt(t, l, listener)
	return l
}

// runAt runs a linker, and answers the calls of other hosts on a listener, until the test ends.
func runAt(t *testing.T, l *Linker, listener net.Listener) {
	t.Helper()
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterFleet(mux, &server{linker: l}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: connOptions().Manager}).Serve(ctx, listener)
	})
	done.Go(func() { l.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
}

// silentAddress returns an address at which calls get no answer.
func silentAddress(t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func awaitLink(t *testing.T, l *Linker, name string, timeout time.Duration) {
	t.Helper()
	linked := func() bool {
		return slices.ContainsFunc(l.Linked(), func(h *messenger.FleetHost) bool { return h.Name == name })
	}
	for end := time.Now().Add(timeout); !linked(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s has no link to %s after %v", l.Self.Name, name, timeout)
		}
	}
}

func TestNewHubIsLinkedOnlyWithTheNextRound(t *testing.T) {
	a := startHub(t, "a")
	b := startHub(t, "b", a.Self.Address, silentAddress(t))
	awaitLink(t, a, "b", 2*linkedIntroduceInterval)
	awaitLink(t, b, "a", linkedIntroduceInterval)
	// From here on, a rests until its next round.
	time.Sleep(2 * introduceInterval)
	c := startHub(t, "c", a.Self.Address, silentAddress(t))
	awaitLink(t, a, "c", successorLinkTimeout)
	awaitLink(t, c, "a", successorLinkTimeout)
}
