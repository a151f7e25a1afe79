package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// The wait for a body had a bound of its own, 10 s, whatever the timeout of the route.
func TestRequestWhoseBodyIsSlowHasNoAnswerAtItsTimeout(t *testing.T) {
	const (
		answerSlack = 500 * time.Millisecond
		timeout     = 2 * time.Second
		left        = 300 * time.Millisecond
	)
	tests := []struct {
		name, fields string
		within       time.Duration
	}{
		{"length, the route's timeout", "Content-Length: 100\r\n\r\n", timeout},
		{"chunks, the client's deadline", fmt.Sprintf("T-Left: %d\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n", left.Milliseconds()), left},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStandIn(t, "s1", answerOK)
			x := newFixture(t, s)
			c, err := net.Dial("tcp", x.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(tt.within + answerSlack))
			_, _ = fmt.Fprintf(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nT-Id: id-1\r\nAuthorization: Bearer key\r\n%spart", tt.fields)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("answered with %d, want 408", resp.StatusCode)
			}
			if n := len(s.requests()); n != 0 {
				t.Errorf("%d requests reached the server", n)
			}
		})
	}
}
