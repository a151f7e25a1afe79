package connector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// mutedConn is a connection that delivers nothing once muted is closed.
type mutedConn struct {
	net.Conn
	muted <-chan struct{}
}

func (c mutedConn) Write(p []byte) (int, error) {
	select {
	case <-c.muted:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// mutingListener mutes the connections that it accepted before silence is called.
type mutingListener struct {
	net.Listener
	mu    sync.Mutex
	muted chan struct{}
}

func (l *mutingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	return mutedConn{c, l.muted}, err
}

func (l *mutingListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.muted)
	l.muted = make(chan struct{})
}

func TestSilentIdleConnectionFailsACallMuchLater(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	listener := &mutingListener{Listener: server.Listener, muted: make(chan struct{})}
	server.Listener = listener
	server.Start()
	defer server.Close()
	s := New(server.Listener.Addr().String())
	defer s.Close()
	call := func() *messenger.CallReply {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return s.Call(ctx, &messenger.CallRequest{Method: http.MethodGet, Path: "/"})
	}
	if r := call(); r.GetRan() != messenger.Ran_RAN_YES {
		t.Fatalf("first call: %v", r)
	}
	listener.silence()
	time.Sleep(1200 * time.Millisecond)
	if r := call(); r.GetRan() != messenger.Ran_RAN_YES {
		t.Errorf("call over a connection that had been silent for more than a second: %v", r)
	}
}
