package receiver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Large bodies together are bounded, other requests are served, and what a body took is given back.
func TestLargeBodiesTogetherFillTheMemory(t *testing.T) {
	const length = 1 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Receiver{Handle: echo, LargeBytes: 3 * length, Limits: func() Limits {
		return Limits{HeaderBytes: 1024, BodyBytes: 2 * length, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}}
	go s.Run(l)
	t.Cleanup(func() {
		_ = l.Close()
		s.CloseAfterResponses()
		s.CloseIdle()
		s.Wait()
	})
	chunk := fmt.Sprintf("%x\r\n%s\r\n", length, strings.Repeat("b", length))
	chunked := "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
	known := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("b", length))
	small := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
	status := func(request string) int {
		c := dial(t, l.Addr().String())
		go func() { _, _ = io.WriteString(c, request) }()
		status := 0
		_, _ = fmt.Fscanf(c, "HTTP/1.1 %d", &status)
		_ = c.Close()
		return status
	}
	var open []net.Conn
	for range 3 {
		c := dial(t, l.Addr().String())
		if _, err := io.WriteString(c, chunked); err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	for end := time.Now().Add(5 * time.Second); s.bodies.Load() < 3*(length-freeBodyBytes) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for name, tt := range map[string]struct {
		request string
		want    int
	}{
		"another large body":           {known, http.StatusServiceUnavailable},
		"another large body in chunks": {chunked + "0\r\n\r\n", http.StatusServiceUnavailable},
		"a small body":                 {small, http.StatusOK},
	} {
		if got := status(tt.request); got != tt.want {
			t.Errorf("%s is answered with %d, want %d", name, got, tt.want)
		}
	}
	for _, c := range open {
		_ = c.Close()
	}
	for end := time.Now().Add(5 * time.Second); s.bodies.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := s.bodies.Load(); got != 0 {
		t.Errorf("%d bytes are still held", got)
	}
	if got := status(known); got != http.StatusOK {
		t.Errorf("a large body is answered with %d after the others have ended", got)
	}
}
