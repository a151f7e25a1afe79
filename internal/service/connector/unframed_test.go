package connector

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// A reply without length or chunks ends with its connection, which is closed at the end of the call too.
func TestReplyThatTheEndOfItsCallCutOffIsWhole(t *testing.T) {
	for _, claim := range []*messenger.Claim{nil, {Key: "key"}} {
		address := answerEarly(t, func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n\r\npart")
			// The read lasts until the call closes the connection.
			_, _ = c.Read(make([]byte, 1))
		})
		s := New(address)
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if reply := s.Call(ctx, &messenger.CallRequest{Method: http.MethodPost, Path: "/", Claim: claim}); reply.GetRan() != messenger.Ran_RAN_UNKNOWN {
			t.Errorf("reply is %v, want ran unknown", reply)
		}
	}
}
