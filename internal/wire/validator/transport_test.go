package validator

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"
)

// serve answers the requests on each connection in order, as long as there are answers.
func serve(t *testing.T, answers ...string) (url string) {
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
				br := bufio.NewReader(c)
				for _, answer := range answers {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// post sends a request, which net/http doesn't repeat by itself, and reads the body of the response.
func post(c *http.Client, url string) (string, error) {
	resp, err := c.Post(url, "", nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestMalformedHeadOnAUsedConnectionIsTaken(t *testing.T) {
	const sound = "HTTP/1.1 200 X\r\nContent-Length: 8\r\n\r\nA B: c\r\n"
	tests := []struct {
		name, second string
		malformed    bool
	}{
		{"sound", sound, false},
		{"malformed", "HTTP/1.1 200 X\r\nContent-Length: 8\r\nA B: c\r\n\r\nA B: c\r\n", true},
		{"malformed in an informational response", "HTTP/1.1 102 X\r\nA B: c\r\n\r\n" + sound, true},
		{"malformed after an informational response", "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 8\r\nA B: c\r\n\r\nA B: c\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			transport := NewTransport(&http.Transport{})
			defer transport.CloseIdleConnections()
			c, url := &http.Client{Transport: transport}, serve(t, sound, tt.second)
			if body, err := post(c, url); err != nil || body != "A B: c\r\n" {
				t.Fatalf("first response is %q, %v", body, err)
			}
			_, err := post(c, url)
			if malformed := new(HeadError); errors.As(err, &malformed) != tt.malformed || !tt.malformed && err != nil {
				t.Errorf("got %v, want a malformed head: %t", err, tt.malformed)
			}
		})
	}
}

// A head may arrive byte by byte, on a connection that has read parts of none before.
func TestMalformedHeadInPartsIsTaken(t *testing.T) {
	for head, want := range map[string]bool{"HTTP/1.1 200 X\r\nA: b\r\n\r\nA B: c\r\n\r\n": true, "HTTP/1.1 102 X\n\nHTTP/1.1 200 X\nA B: c\n\n": false} {
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, head)
			_ = far.Close()
		}()
		c := &headConn{Conn: Conn{Conn: near}}
		c.awaitHead()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		got, err := io.ReadAll(iotest.OneByteReader(c))
		// After a malformed head the rest is never read.
		_ = c.Close()
		if sound := err == nil && string(got) == head; sound != want {
			t.Errorf("read %q, then %v, want it to be sound: %t", got, err, want)
		}
	}
}
