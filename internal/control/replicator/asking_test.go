package replicator

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/wire/messenger"
)

// gatheringServer answers requests once the wait group is done.
type gatheringServer struct {
	messenger.DRPCPeersUnimplementedServer
	gather *sync.WaitGroup
}

func (s *gatheringServer) Ask(context.Context, *messenger.PeerRequest) (*messenger.PeerReply, error) {
	if s.gather != nil {
		s.gather.Done()
		s.gather.Wait()
	}
	return &messenger.PeerReply{}, nil
}

func TestEachSilentIdleConnectionFailsARequestToTheLeader(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const idle = 5
	s := &gatheringServer{gather: &sync.WaitGroup{}}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeers(mux, s); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = drpcserver.NewWithOptions(mux, ServerOptions()).Serve(ctx, Listener(l)) })
	proxy := newSilentProxy(t, l.Addr().String())
	transport := &Transport{}
	t.Cleanup(func() {
		_ = transport.Close()
		cancel()
		wg.Wait()
	})
	ask := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := transport.Ask(ctx, proxy.listener.Addr().String(), &messenger.PeerRequest{})
		return err
	}
	s.gather.Add(idle)
	var asking sync.WaitGroup
	for range idle {
		asking.Go(func() {
			if err := ask(); err != nil {
				t.Error(err)
			}
		})
	}
	asking.Wait()
	s.gather = nil
	proxy.silence(true, true)
	failed := 0
	for range idle + 1 {
		if ask() != nil {
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("%d of %d requests failed over connections that went silent, want at most 1", failed, idle+1)
	}
}
