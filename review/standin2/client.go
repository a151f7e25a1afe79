package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

type (
	// request is what a client sends.
	request struct {
		id, method, path, key, body string
		// within is how long the client waits.
		within time.Duration
		// prompt is the list of the parts of the prompt of a generation; empty for a call.
		prompt, tokens string
	}

	// streamEnd is how a stream ended for its client.
	streamEnd struct {
		status, events int
		// whole is set if the answer ended as complete: with its last chunk.
		whole bool
		err   error
	}
)

const (
	hostName = "rota.example"
	// apiKey is the key of the workspace in the configuration.
	apiKey = "xd9dnn2ctnfzs989anu6"
)

// send sends a request to a host on a new connection. The caller closes the body.
func (c *caseRun) send(h *host, r request) (*http.Response, error) {
	req, err := http.NewRequest(r.method, "http://"+c.fleet.address(h, frontPort)+r.path, strings.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	req.Host = hostName
	req.Header.Set(names.ID, r.id)
	req.Header.Set(names.Deadline, fmt.Sprint(r.within.Milliseconds()))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	if r.prompt != "" {
		req.Header.Set(names.Model, "m")
		req.Header.Set(names.Tokens, r.tokens)
		req.Header.Set(names.Prompt, r.prompt)
	}
	c.record.add("client sends", "request", r.id, "host", h.name, "method", r.method, "path", r.path)
	client := http.Client{Timeout: r.within, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return client.Do(req)
}

// readStream sends a generation and reads its events, and calls onEvent with the number of those read so far.
func (c *caseRun) readStream(h *host, r request, onEvent func(n int)) streamEnd {
	resp, err := c.send(h, r)
	if err != nil {
		return streamEnd{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	end := streamEnd{status: resp.StatusCode}
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			end.events++
			onEvent(end.events)
		}
		if errors.Is(err, io.EOF) {
			end.whole = true
		} else if err != nil {
			end.err = err
		}
		if err != nil {
			break
		}
	}
	c.record.add("client's answer ended", "request", r.id, "status", end.status, "events", end.events, "whole", end.whole, "error", end.err)
	return end
}
