package connector

import (
	"bufio"
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
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n\r\npart")
			_, _ = br.ReadByte()
		}()
		s := New(l.Addr().String())
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if reply := s.Call(ctx, &messenger.CallRequest{Method: http.MethodPost, Path: "/", Claim: claim}); reply.GetRan() != messenger.Ran_RAN_UNKNOWN {
			t.Errorf("reply is %v, want ran unknown", reply)
		}
	}
}
