package connector

import (
	"strings"
	"testing"

	"verbenareach/internal/wire/messenger"
)

func TestReplyWithAMalformedFieldIsTheOutcome(t *testing.T) {
	const first = "HTTP/1.1 200 X\r\n"
	tests := []struct {
		name, answer string
		ran          messenger.Ran
	}{
		{"blank in a name", first + "X-A B: v\r\nContent-Length: 4\r\n\r\nbody", messenger.Ran_RAN_UNKNOWN},
		{"blank after a name", first + "X-A : v\r\n\r\nbody", messenger.Ran_RAN_UNKNOWN},
		{"length with a blank", first + "Content-Length : 3\r\n\r\nbody", messenger.Ran_RAN_UNKNOWN},
		{"chunks with a blank", first + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", messenger.Ran_RAN_UNKNOWN},
		{"blank before a name", first + "X-A: v\r\n Content-Length: 3\r\n\r\nbody", messenger.Ran_RAN_UNKNOWN},
		{"control character in a name", first + "X-\x01A: v\r\nContent-Length: 4\r\n\r\nbody", messenger.Ran_RAN_UNKNOWN},
		{"another version", "HTTP/2.0 200 X\r\nContent-Length: 4\r\n\r\nbody", messenger.Ran_RAN_UNKNOWN},
		{"control character in the reason", "HTTP/1.1 200 X\x00\r\nContent-Length: 4\r\n\r\nbody", messenger.Ran_RAN_UNKNOWN},
		{"version 1.0 in chunks", "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", messenger.Ran_RAN_UNKNOWN},
		{"informational response", "HTTP/1.1 102 X\r\nX-A B: v\r\n\r\n" + first + "Content-Length: 4\r\n\r\nbody", messenger.Ran_RAN_UNKNOWN},
		{"sound informational response", "HTTP/1.1 102 X\r\nX-A: v\r\n\r\n" + first + "Content-Length: 4\r\n\r\nbody", messenger.Ran_RAN_YES},
		{"blanks in a value", first + "X-A: v w\tx \r\nContent-Length: 4\r\n\r\nbody", messenger.Ran_RAN_YES},
		{"long head", first + "X-A: " + strings.Repeat("v", 20<<10) + "\r\nContent-Length: 4\r\n\r\nbody", messenger.Ran_RAN_YES},
		{"body of lines", first + "Content-Length: 14\r\n\r\nA B: c\r\n D\r\n\r\n", messenger.Ran_RAN_YES},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			callEach(t, listen(t, tt.answer), nil, func(t *testing.T, reply *messenger.CallReply) {
				t.Helper()
				if reply.GetRan() != tt.ran {
					t.Errorf("reply is %v, want ran %v", reply, tt.ran)
				}
			})
		})
	}
}
