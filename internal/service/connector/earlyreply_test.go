package connector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// longUpload is the length of a call's body that is still being written while its reply comes.
const longUpload = 8 << 20

// answerEarly passes each request to script once its header was read; the body is not read yet.
func answerEarly(t *testing.T, script func(c *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					script(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// callEach sends a call that may be repeated and one that may not, and passes the replies to check.
func callEach(t *testing.T, address string, body []byte, check func(t *testing.T, reply *messenger.CallReply)) {
	t.Helper()
	for name, claim := range map[string]*messenger.Claim{"repeatable": nil, "claim": {Key: "key"}} {
		t.Run(name, func(t *testing.T) {
			s := New(address)
			defer s.Close()
			check(t, s.Call(t.Context(), &messenger.CallRequest{Method: http.MethodPost, Path: "/", Body: body, Claim: claim}))
		})
	}
}

func TestEarlyReplyThatIsResetIsTheOutcome(t *testing.T) {
	for _, after := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			t.Run(fmt.Sprint(after, status), func(t *testing.T) {
				address := answerEarly(t, func(c *net.TCPConn, _ *http.Request) {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n\r\npart", status)
					time.Sleep(after)
					_ = c.SetLinger(0)
				})
				callEach(t, address, make([]byte, longUpload), func(t *testing.T, reply *messenger.CallReply) {
					t.Helper()
					if reply.GetRan() != messenger.Ran_RAN_UNKNOWN {
						t.Errorf("reply is %v, want ran unknown", reply)
					}
				})
			})
		}
	}
}

func TestSoundEarlyReplyIsNoOutcome(t *testing.T) {
	tests := map[string]func(c *net.TCPConn, r *http.Request){
		"ends after the upload": func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) },
		"ends before the upload": func(c *net.TCPConn, r *http.Request) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			address := answerEarly(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n\r\nwhole")
				end(c, r)
			})
			callEach(t, address, make([]byte, longUpload), func(t *testing.T, reply *messenger.CallReply) {
				t.Helper()
				if reply.GetRan() != messenger.Ran_RAN_YES || string(reply.GetBody()) != "whole" {
					t.Errorf("reply is %v, want the whole", reply)
				}
			})
		})
	}
}
