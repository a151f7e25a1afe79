package forwarder

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/event/logger"
)

// A failure that no line explains can't be told from one of the network, or of this host.
func TestLinesOfABrokenAnswerLackItsCause(t *testing.T) {
	tests := []struct {
		name   string
		script func(c net.Conn, seen seenRequest) bool
		cause  string
	}{
		{"reset", func(c net.Conn, seen seenRequest) bool {
			answerUnframed(c, seen, http.StatusOK)
			time.Sleep(20 * time.Millisecond)
			return reset(c)
		}, "reset"},
		{"malformed", func(c net.Conn, seen seenRequest) bool {
			return answer(c, seen, http.StatusOK, signed+"X-A B: v\r\n", "body")
		}, `"X-A B: v"`},
		{"status", func(c net.Conn, seen seenRequest) bool {
			return answer(c, seen, 0, signed, "body")
		}, "status"},
	}
	upload := strings.Repeat("u", longUploadBytes)
	for _, tt := range tests {
		for _, path := range routesOfEachKind {
			t.Run(tt.name+path, func(t *testing.T) {
				x := newFixtureOfOne(t, func(id string) *standIn { return newEarlyStandIn(t, id, tt.script) })
				records := make(chan logger.Record, 100)
				x.forwarder.Log = &logger.Logger{Keep: func(r logger.Record) { records <- r }}
				x.send(path, key, upload)
				// The loss is recorded once the process of the backend server was looked at.
				for patience := time.After(5 * time.Second); ; {
					select {
					case r := <-records:
						if isLossWith(r, tt.cause) {
							return
						}
					case <-patience:
						t.Fatalf("no line tells that a backend server lost the request by %q", tt.cause)
					}
				}
			})
		}
	}
}

// isLossWith reports whether a record tells that a backend server lost the request id-1 for a cause.
func isLossWith(r logger.Record, cause string) bool {
	if r.Event != logger.ForwardLost && r.Event != logger.RunLost || r.Subject != "id-1" {
		return false
	}
	hasBackend := slices.ContainsFunc(r.Fields, func(f logger.Field) bool { return f.Key == "backend" && f.Value != "" })
	return hasBackend && slices.ContainsFunc(r.Fields, func(f logger.Field) bool {
		err, ok := f.Value.(error)
		return f.Key == "cause" && ok && strings.Contains(err.Error(), cause)
	})
}
