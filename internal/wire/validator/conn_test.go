package validator

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection tells its error.
func writeUntilError(t *testing.T, c net.Conn) {
	t.Helper()
	for range 1000 {
		if _, err := c.Write([]byte("w")); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no write failed")
}

func TestResetThatAWriteMeetsLooksLikeAnEnd(t *testing.T) {
	resets := func(far *net.TCPConn) {
		_ = far.SetLinger(0)
		_ = far.Close()
	}
	closes := func(far *net.TCPConn) { _ = far.Close() }
	for name, end := range map[string]func(*net.TCPConn){"reset": resets, "close that a write finds": closes} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			if _, err := far.Write([]byte("part")); err != nil {
				t.Fatal(err)
			}
			c := &Conn{Conn: near}
			end(far)
			writeUntilError(t, c)
			got, err := io.ReadAll(c)
			if err == nil || errors.Is(err, net.ErrClosed) || len(got) > 0 && string(got) != "part" {
				t.Errorf("read %q, then %v, want a reset", got, err)
			}
		})
	}
}

func TestEndOfThePeerLooksLikeAReset(t *testing.T) {
	tests := []struct {
		name string
		// end ends the connection, while c is written to if writes is set; done is closed once the end was read.
		end    func(far *net.TCPConn, done <-chan struct{})
		writes bool
	}{
		{"closes", func(far *net.TCPConn, _ <-chan struct{}) { _ = far.Close() }, false},
		{"ends its side", func(far *net.TCPConn, _ <-chan struct{}) { _ = far.CloseWrite() }, false},
		{"ends its side and reads on", func(far *net.TCPConn, _ <-chan struct{}) {
			_ = far.CloseWrite()
			_, _ = io.Copy(io.Discard, far)
		}, true},
		{"ends its side and resets without reading", func(far *net.TCPConn, done <-chan struct{}) {
			_ = far.CloseWrite()
			<-done
			_ = far.SetLinger(0)
			_ = far.Close()
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := connect(t)
			if _, err := far.Write([]byte("whole")); err != nil {
				t.Fatal(err)
			}
			c, done := &Conn{Conn: near}, make(chan struct{})
			if tt.writes {
				go func() { _, _ = c.Write(make([]byte, 64<<20)) }()
			}
			go tt.end(far, done)
			got, err := io.ReadAll(c)
			close(done)
			if err != nil || string(got) != "whole" {
				t.Errorf("read %q, then %v, want the whole", got, err)
			}
		})
	}
}

func TestOwnEndLooksLikeThatOfThePeer(t *testing.T) {
	near, _ := connect(t)
	c := &Conn{Conn: near}
	time.AfterFunc(10*time.Millisecond, func() { _ = c.Close() })
	if _, err := io.ReadAll(c); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read until %v, want the own close", err)
	}
}

// A connection that is no socket, as in tests, has no state to look at.
func TestEndOfAPipeIsKept(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	if _, err := io.ReadAll(&Conn{Conn: near}); err != nil {
		t.Errorf("read until %v", err)
	}
}
