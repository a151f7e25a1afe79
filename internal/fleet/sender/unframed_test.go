package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A response without length or chunks is whole once its connection has ended, if not by this side.
func TestUnframedResponseThatThisSideEndedIsWhole(t *testing.T) {
	tests := []struct {
		name string
		// end ends the response after its first bytes, with the server's side in far.
		end   func(resp *Response, far *net.TCPConn, cancel context.CancelFunc)
		whole bool
	}{
		{"server closes", func(_ *Response, far *net.TCPConn, _ context.CancelFunc) { _ = far.Close() }, true},
		{"server closes its side", func(_ *Response, far *net.TCPConn, _ context.CancelFunc) { _ = far.CloseWrite() }, true},
		{"server resets", func(_ *Response, far *net.TCPConn, _ context.CancelFunc) { _ = far.SetLinger(0); _ = far.Close() }, false},
		{"aborted", func(resp *Response, _ *net.TCPConn, _ context.CancelFunc) { resp.Abort() }, false},
		{"context canceled", func(_ *Response, _ *net.TCPConn, cancel context.CancelFunc) { cancel() }, false},
		{"deadline of the connection", func(resp *Response, _ *net.TCPConn, _ context.CancelFunc) {
			_ = resp.conn.SetReadDeadline(time.Now())
		}, false},
		{"server closes after the abort", func(resp *Response, far *net.TCPConn, _ context.CancelFunc) { resp.Abort(); _ = far.Close() }, false},
	}
	for _, tt := range tests {
		for _, length := range []string{"", "Content-Length: 99\r\n", "Transfer-Encoding: chunked\r\n"} {
			t.Run(tt.name+" "+length, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = l.Close() }()
				accepted := make(chan *net.TCPConn, 1)
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n"+length+"\r\n2\r\nab\r\n")
					accepted <- c.(*net.TCPConn)
				}()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				p := &Pool{}
				conn, err := p.Get(ctx, time.Now(), l.Addr().String(), 0)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := p.Send(ctx, conn, Request{Method: http.MethodGet, Target: "/", Host: "h"})
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Abort()
				far := <-accepted
				defer func() { _ = far.Close() }()
				// One byte is read before the end and the rest is read after it.
				if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(20*time.Millisecond, func() { tt.end(resp, far, cancel) })
				_, err = io.ReadAll(resp.Body)
				if whole := err == nil; whole != (tt.whole && length == "") {
					t.Errorf("the response is whole: %t (%v)", whole, err)
				}
				if resp.Framed == (length == "") {
					t.Errorf("framed is %t", resp.Framed)
				}
			})
		}
	}
}
