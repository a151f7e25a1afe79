package acceptor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

// floodServer sends on each link until it fails, and passes the error on.
type floodServer struct {
	messenger.DRPCFleetUnimplementedServer
	failed chan error
}

// deafConn is a connection whose owner reads nothing until done is closed.
type deafConn struct {
	net.Conn
	done <-chan struct{}
}

func (c deafConn) Read([]byte) (int, error) {
	<-c.done
	return 0, io.EOF
}

func (s *floodServer) Link(stream messenger.DRPCFleet_LinkStream) error {
	m := &messenger.LinkMessage{Host: &messenger.FleetHost{Name: string(bytes.Repeat([]byte("x"), 1<<20))}}
	for {
		if err := stream.Send(m); err != nil {
			s.failed <- err
			return err
		}
	}
}

// start runs an acceptor and returns a connection to it.
func start(t *testing.T, s *floodServer, a *Acceptor) net.Conn {
	t.Helper()
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.Listener = &dialer.MonitoredListener{Listener: listener, Timeout: time.Second}
	a.Register = func(mux *drpcmux.Mux) error { return messenger.DRPCRegisterFleet(mux, s) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	raw, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_ = raw.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return raw
}

func TestWriteToACallerThatReadsNothingNeverEnds(t *testing.T) {
	s := &floodServer{failed: make(chan error, 1)}
	conn := drpcconn.New(deafConn{start(t, s, &Acceptor{}), t.Context().Done()})
	stream, err := messenger.NewDRPCFleetClient(conn).Link(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&messenger.LinkMessage{}); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-s.failed:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("write ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("a write has waited for 5 s")
	}
}

func TestConnectionWithoutCallsIsKeptForGood(t *testing.T) {
	raw := start(t, &floodServer{}, &Acceptor{IdleTimeout: 50 * time.Millisecond})
	if err := raw.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := raw.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("a connection without calls is open after 2 s")
	}
}
