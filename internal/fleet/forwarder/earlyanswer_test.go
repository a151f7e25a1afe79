package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answerUnframed sends events in a response without length or chunks.
func answerUnframed(c net.Conn, seen seenRequest, status int) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nT-Id: %s\r\n%s\r\n%s", status, seen.Header.Get("T-Id"), signed, events(1, 2))
}

// A reset that a write of the request meets looks like an end to the next read of the response.
func TestEarlyAnswerThatIsResetLooksWhole(t *testing.T) {
	resetAfter := func(d time.Duration) func(net.Conn, seenRequest) bool {
		return func(c net.Conn, _ seenRequest) bool {
			time.Sleep(d)
			return reset(c)
		}
	}
	tests := []struct {
		name string
		// end ends the connection after the events.
		end func(c net.Conn, seen seenRequest) bool
	}{
		{"at once", resetAfter(0)},
		{"soon", resetAfter(20 * time.Millisecond)},
		{"late", resetAfter(300 * time.Millisecond)},
		{"after a part of the upload", func(c net.Conn, seen seenRequest) bool {
			_, _ = io.CopyN(io.Discard, seen.Body, longUploadBytes/8)
			return reset(c)
		}},
		{"by a close with unread bytes", func(net.Conn, seenRequest) bool {
			time.Sleep(20 * time.Millisecond)
			return false
		}},
	}
	upload := strings.Repeat("u", longUploadBytes)
	for _, tt := range tests {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			for _, path := range routesOfEachKind {
				t.Run(fmt.Sprintf("%s %d %s", tt.name, status, path), func(t *testing.T) {
					x := newFixtureOfOne(t, func(id string) *standIn {
						return newEarlyStandIn(t, id, func(c net.Conn, seen seenRequest) bool {
							answerUnframed(c, seen, status)
							return tt.end(c, seen)
						})
					})
					got := x.send(path, key, upload)
					if got.err == nil && (got.status == status || got.header.Get("T-Signed") != "") {
						t.Errorf("client got %d %q as if it were whole", got.status, got.body)
					}
				})
			}
		}
	}
}

// A backend server may end its response early and keep the connection for the rest of the upload, whether it
// reads that or not.
func TestSoundEarlyAnswerLooksBroken(t *testing.T) {
	readOn := func(seen seenRequest) { _, _ = io.Copy(io.Discard, seen.Body) }
	tests := []struct {
		name string
		// end ends the connection after the events; answered is closed once the client has the response.
		end func(c net.Conn, seen seenRequest, answered <-chan struct{}) bool
	}{
		{"ends after the upload", func(_ net.Conn, seen seenRequest, _ <-chan struct{}) bool {
			readOn(seen)
			return false
		}},
		{"ends before the upload", func(c net.Conn, seen seenRequest, _ <-chan struct{}) bool {
			_ = c.(*net.TCPConn).CloseWrite()
			readOn(seen)
			return false
		}},
		{"ends before the upload and reads it later", func(c net.Conn, seen seenRequest, answered <-chan struct{}) bool {
			_ = c.(*net.TCPConn).CloseWrite()
			<-answered
			readOn(seen)
			return false
		}},
		{"ends before the upload and never reads it", func(c net.Conn, _ seenRequest, answered <-chan struct{}) bool {
			_ = c.(*net.TCPConn).CloseWrite()
			<-answered
			return reset(c)
		}},
	}
	upload := strings.Repeat("u", longUploadBytes)
	for _, tt := range tests {
		for _, path := range routesOfEachKind {
			t.Run(tt.name+path, func(t *testing.T) {
				answered := make(chan struct{})
				defer close(answered)
				x := newFixtureOfOne(t, func(id string) *standIn {
					return newEarlyStandIn(t, id, func(c net.Conn, seen seenRequest) bool {
						answerUnframed(c, seen, http.StatusOK)
						return tt.end(c, seen, answered)
					})
				})
				if got := x.send(path, key, upload); got.err != nil || got.status != http.StatusOK || got.body != events(1, 2) {
					t.Errorf("client got %d %q, %v", got.status, got.body, got.err)
				}
			})
		}
	}
}
