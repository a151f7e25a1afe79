package connector

import (
	"io"
	"net"
	"net/http"
	"testing"

	"verbenareach/internal/wire/messenger"
)

// listen answers each request with the given text and then closes its connection.
func listen(t *testing.T, answer string) (address string) {
	t.Helper()
	return answerEarly(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, answer) })
}

func TestAnswerWithAnInvalidStatusCountsAsTheOutcome(t *testing.T) {
	tests := []struct {
		status string
		ran    messenger.Ran
	}{
		{"000", messenger.Ran_RAN_UNKNOWN},
		{"001", messenger.Ran_RAN_UNKNOWN},
		{"099", messenger.Ran_RAN_UNKNOWN},
		{"+99", messenger.Ran_RAN_UNKNOWN},
		{"101", messenger.Ran_RAN_UNKNOWN},
		{"600", messenger.Ran_RAN_UNKNOWN},
		{"999", messenger.Ran_RAN_UNKNOWN},
		{"20x", messenger.Ran_RAN_UNKNOWN},
		{"OK", messenger.Ran_RAN_UNKNOWN},
		{"200", messenger.Ran_RAN_YES},
		{"304", messenger.Ran_RAN_YES},
		{"599", messenger.Ran_RAN_YES},
	}
	for _, tt := range tests {
		t.Run(tt.status, func(t *testing.T) {
			s := New(listen(t, "HTTP/1.1 "+tt.status+" X\r\nContent-Length: 4\r\n\r\nbody"))
			defer s.Close()
			if reply := s.Call(t.Context(), &messenger.CallRequest{Method: http.MethodPost, Path: "/"}); reply.GetRan() != tt.ran {
				t.Errorf("reply is %v, want ran %v", reply, tt.ran)
			}
		})
	}
}
