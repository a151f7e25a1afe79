// Package connector sends calls to a plain service over HTTP.
package connector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"verbenareach/internal/wire/messenger"
)

const (
	// MaxReplyBytes bounds a service's reply.
	MaxReplyBytes = 1 << 20

	idleConnections = 64
)

type (
	// Service is one plain service.
	Service struct {
		address string
		// repeatable keeps connections; net/http may send a call again on them when
		// one turns out to be closed.
		repeatable *http.Client
		// once opens a connection for each call, on which nothing is sent twice.
		once *http.Client
	}
)

// New returns the service at an IP number and port.
func New(address string) *Service {
	return &Service{
		address:    address,
		repeatable: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}, CheckRedirect: noRedirect},
		once:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: noRedirect},
	}
}

// Close closes the idle connections.
func (s *Service) Close() {
	s.repeatable.CloseIdleConnections()
}

// Call sends one call and returns the reply. Its ran field is RAN_NO only when
// no connection was made, RAN_YES when the service answered, RAN_UNKNOWN else.
func (s *Service) Call(ctx context.Context, req *messenger.CallRequest) *messenger.CallReply {
	r, err := http.NewRequestWithContext(ctx, req.GetMethod(), "http://"+s.address+req.GetPath(), bytes.NewReader(req.GetBody()))
	if err != nil {
		return failed(messenger.Ran_RAN_NO, messenger.DeclineReason_DECLINE_REASON_BAD_REQUEST, err)
	}
	for _, h := range req.GetHeaders() {
		r.Header.Add(h.GetName(), h.GetValue())
	}
	client := s.repeatable
	if req.GetClaim() != nil {
		client = s.once
	}
	resp, err := client.Do(r)
	if err != nil {
		return failed(ranAfter(err), messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err != nil {
		return failed(messenger.Ran_RAN_UNKNOWN, messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN, err)
	}
	if len(body) > MaxReplyBytes {
		return &messenger.CallReply{Ran: messenger.Ran_RAN_YES, Status: http.StatusBadGateway, Detail: "the service's reply is too large"}
	}
	reply := &messenger.CallReply{Ran: messenger.Ran_RAN_YES, Status: uint32(resp.StatusCode), Body: body}
	if contentType := resp.Header.Get("Content-Type"); contentType != "" {
		reply.Headers = []*messenger.Header{{Name: "Content-Type", Value: contentType}}
	}
	return reply
}

func failed(ran messenger.Ran, reason messenger.DeclineReason, err error) *messenger.CallReply {
	return &messenger.CallReply{Ran: ran, Reason: reason, Detail: err.Error()}
}

// ranAfter tells what a failed call proves: a call whose connection was never
// made did not run; of any other nothing is known.
func ranAfter(err error) messenger.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return messenger.Ran_RAN_NO
	}
	return messenger.Ran_RAN_UNKNOWN
}

// noRedirect hands a redirect to the caller: following one would send a call twice.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
