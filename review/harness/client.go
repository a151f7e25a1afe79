package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

type (
	// request is what a client sends.
	request struct {
		id, method, path, key, body string
		timeout                     time.Duration
		extra                       map[string]string
	}

	// answer is what a client got; status is 0 without a response, whole is set if its body ended properly.
	answer struct {
		status int
		header http.Header
		body   string
		whole  bool
	}
)

var lastRequest atomic.Int64

// newID returns an id that no other request has.
func newID() string {
	return fmt.Sprintf("%08x%04x", time.Now().UnixNano()&0xffffffff, lastRequest.Add(1))
}

// send sends a request to a host as a client does.
func send(c *http.Client, f *fleet, h *host, r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+f.address(h, frontPort)+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{}
	}
	req.Host = "choir.example"
	req.Header.Set(fields.RequestID, r.id)
	req.Header.Set(fields.Deadline, fmt.Sprint(r.timeout.Milliseconds()))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for name, value := range r.extra {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), whole: err == nil}
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// generationFields returns the header fields of a generation with its own prompt.
func generationFields(id string, prompt, output int) map[string]string {
	return map[string]string{
		fields.Model: "m", fields.Usage: fmt.Sprintf("%d,%d", prompt, output), fields.LengthHint: fmt.Sprint(output),
		fields.Prefix: fmt.Sprintf("5c1e07a2:79,%s:%d", id, prompt-79),
	}
}
