package sender

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// The rest of a body that was not read to its end would be taken for the next response.
func TestConnectionIsKeptOnlyIfTheBodyWasRead(t *testing.T) {
	tests := []struct {
		name string
		read int64
		kept bool
	}{
		{"read to its end", 100, true},
		{"read in part", 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := net.Pipe()
			partRead := make(chan struct{})
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
					return
				}
				_, _ = io.WriteString(far, "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\n01234")
				if !tt.kept {
					// The rest is on its way while the connection is given back.
					<-partRead
				}
				_, _ = io.WriteString(far, "56789")
			}()
			p := &Pool{IdleTimeout: time.Minute}
			resp, err := p.Send(t.Context(), newConn(near, "b"), Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, tt.read)); err != nil {
				t.Fatal(err)
			}
			resp.Done()
			if kept := p.take("b") != nil; kept != tt.kept {
				t.Errorf("the connection is kept: %t, want %t", kept, tt.kept)
			}
			close(partRead)
			_ = far.Close()
		})
	}
}
