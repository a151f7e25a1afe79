package receiver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// serve runs a receiver on loopback and returns its address.
func serve(t *testing.T, handle func(ctx context.Context, w *Writer, r *Request)) (*Receiver, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Receiver{Handle: handle, Limits: func() Limits {
		return Limits{HeaderBytes: 1024, BodyBytes: 64, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}
	}}
	go s.Run(l)
	t.Cleanup(func() {
		_ = l.Close()
		s.CloseAfterResponses()
		s.CloseIdle()
		s.Wait()
	})
	return s, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

func echo(_ context.Context, w *Writer, r *Request) {
	w.Reply(http.StatusOK, nil, append([]byte(r.Method+" "+r.Target+" "), r.Body...))
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestFraming(t *testing.T) {
	tests := []struct {
		name    string
		request string
		status  int
		body    string
	}{
		{"a length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz", 200, "POST /a xyz"},
		{"chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n", 200, "POST /a xyz"},
		{"no body", "GET /a?b=c HTTP/1.1\r\nHost: h:80\r\n\r\n", 200, "GET /a?b=c "},
		{"a length and chunks", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nxyz", 400, ""},
		{"a length with a sign", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nxyz", 400, ""},
		{"an unknown encoding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501, ""},
		{"two encodings", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"a space before the colon", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"a folded line", "GET /a HTTP/1.1\r\nHost: h\r\nX: y\r\n z\r\n\r\n", 400, ""},
		{"a bare line feed", "GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", 400, ""},
		{"a carriage return within a value", "GET /a HTTP/1.1\r\nHost: h\r\nX: y\rz\r\n\r\n", 400, ""},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", 400, ""},
		{"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400, ""},
		{"a malformed chunk", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nxy\r\n", 400, ""},
		{"another version", "GET /a HTTP/3.0\r\nHost: h\r\n\r\n", 505, ""},
		{"a large header", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("y", 2000) + "\r\n\r\n", 431, ""},
		{"a large body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413, ""},
		{"a large body in chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" +
			strings.Repeat("y", 80) + "\r\n0\r\n\r\n", 413, ""},
		{"a header that does not end", "GET /a HTTP/1.1\r\nHost: h\r\n", 408, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := serve(t, echo)
			c := dial(t, address)
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status {
				t.Errorf("status %d, want %d", resp.StatusCode, tt.status)
			}
			if tt.status == http.StatusOK && string(body) != tt.body {
				t.Errorf("handler saw %q, want %q", body, tt.body)
			}
			if tt.status != http.StatusOK && !resp.Close {
				t.Error("connection stays open after a refused request")
			}
		})
	}
}

func TestRequestsOnOneConnectionAreAnsweredInOrder(t *testing.T) {
	_, address := serve(t, echo)
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	br := bufio.NewReader(c)
	for _, want := range []string{"GET /1 ", "GET /2 "} {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != want {
			t.Errorf("response %q, %v, want %q", body, err, want)
		}
		_ = resp.Body.Close()
	}
}

func TestContextEndsWhenTheClientLeaves(t *testing.T) {
	left := make(chan struct{})
	_, address := serve(t, func(ctx context.Context, w *Writer, _ *Request) {
		select {
		case <-ctx.Done():
			close(left)
		case <-time.After(3 * time.Second):
		}
		w.Abort()
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	_ = c.Close()
	select {
	case <-left:
	case <-time.After(2 * time.Second):
		t.Error("context of the handler did not end")
	}
}

func TestAbortedResponseNeverLooksComplete(t *testing.T) {
	_, address := serve(t, func(_ context.Context, w *Writer, _ *Request) {
		w.Begin(http.StatusOK, nil)
		w.Write([]byte("part"))
		w.Abort()
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		t.Errorf("%q reads as complete", body)
	}
}

func TestClientThatKnowsNoChunksGetsThem(t *testing.T) {
	tests := []struct {
		name string
		end  func(w *Writer)
		// whole is whether the response looks complete.
		whole bool
	}{
		{"finished", (*Writer).Finish, true},
		{"aborted", (*Writer).Abort, false},
		{"neither", func(*Writer) {}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := serve(t, func(_ context.Context, w *Writer, _ *Request) {
				w.Begin(http.StatusOK, nil)
				w.Write([]byte("part"))
				w.Write([]byte("ition"))
				tt.end(w)
			})
			c := dial(t, address)
			_, _ = io.WriteString(c, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				if tt.whole {
					t.Error(err)
				}
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if len(resp.TransferEncoding) > 0 || (err == nil) != tt.whole || tt.whole && string(body) != "partition" {
				t.Errorf("client got %q, %v, in %v", body, err, resp.TransferEncoding)
			}
		})
	}
}

func TestConnectionsCloseAfterTheirResponses(t *testing.T) {
	s, address := serve(t, echo)
	busy, idle := dial(t, address), dial(t, address)
	s.CloseAfterResponses()
	_, _ = io.WriteString(busy, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if !resp.Close {
		t.Error("response does not announce that the connection closes")
	}
	s.CloseIdle()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read of the idle connection returned %v, want EOF", err)
	}
}

func TestResponseToHeadHasNoBody(t *testing.T) {
	_, address := serve(t, func(_ context.Context, w *Writer, _ *Request) {
		w.Begin(http.StatusOK, nil)
		w.Write([]byte("a"))
		w.Finish()
	})
	c := dial(t, address)
	// One reader for both responses: bytes after the first are taken for the second.
	br := bufio.NewReader(c)
	for range 2 {
		if _, err := io.WriteString(c, "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("the next response on the connection is %v, %v", resp, err)
		}
		_ = resp.Body.Close()
	}
}

// A request may have arrived on a kept connection when the host closes its idle ones.
func TestRequestThatArrivedBeforeTheCloseIsAnswered(t *testing.T) {
	for range 200 {
		s, address := serve(t, echo)
		c := dial(t, address)
		br := bufio.NewReader(c)
		for _, stopping := range []bool{false, true} {
			if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if stopping {
				s.CloseAfterResponses()
				s.CloseIdle()
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("a request that was sent before the close got no answer: %v", err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
		}
	}
}
