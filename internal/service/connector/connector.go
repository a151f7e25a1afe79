// Package connector forwards calls to a service, a backend without a model engine,
// over HTTP.
package connector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
	"unicode/utf8"

	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/validator"
)

const (
	// MaxReplyBytes bounds the body of a service's reply.
	MaxReplyBytes = 1 << 20

	// maxHeaderBytes bounds the header of a reply.
	maxHeaderBytes = 32 << 10

	// idleConnections bounds the idle connections to one service.
	idleConnections = 64
	// idleTimeout is how long an idle connection is kept. An open one can go silent without an error.
	idleTimeout = time.Second

	// minStatus and maxStatus are the first and the last status of an answer.
	minStatus = 200
	maxStatus = 599
)

var errInvalidStatus = errors.New("the service answered with a status that HTTP doesn't have")

type (
	// Service is the client of one service.
	Service struct {
		address string
		// pooled reuses connections, for calls that may be repeated: net/http may send
		// a call again when a reused connection turns out to be closed.
		pooled *http.Client
		// unpooled opens a connection for each call, so that net/http never sends a call
		// twice.
		unpooled *http.Client
	}
)

// New returns the client of the service at an IP number and port.
func New(address string) *Service {
	return &Service{
		address: address,
		pooled: &http.Client{CheckRedirect: noRedirect, Transport: validator.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
		})},
		unpooled: &http.Client{CheckRedirect: noRedirect, Transport: validator.NewTransport(&http.Transport{
			DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes,
		})},
	}
}

// Close closes the idle connections.
func (s *Service) Close() {
	s.pooled.CloseIdleConnections()
}

// Call sends one call and returns the reply. Its ran field is RAN_YES if the service's
// whole reply arrived or was over MaxReplyBytes, which gives status 502; RAN_NO if the call
// was invalid or no connection was established; else RAN_UNKNOWN, also for a reply whose status
// HTTP doesn't have. A call with a claim must not be repeated and is never sent twice.
func (s *Service) Call(ctx context.Context, req *messenger.CallRequest) *messenger.CallReply {
	r, err := http.NewRequestWithContext(ctx, req.GetMethod(), "http://"+s.address+req.GetPath(), bytes.NewReader(req.GetBody()))
	if err != nil {
		return failedReply(messenger.Ran_RAN_NO, messenger.DeclineReason_DECLINE_REASON_BAD_REQUEST, err)
	}
	for _, h := range req.GetHeaders() {
		r.Header.Add(h.GetName(), h.GetValue())
	}
	client := s.pooled
	if req.GetClaim() != nil {
		client = s.unpooled
	}
	resp, err := client.Do(r)
	if err != nil {
		return failedReply(ranAfter(err), messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return failedReply(messenger.Ran_RAN_UNKNOWN, messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN, errInvalidStatus)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err != nil {
		return failedReply(messenger.Ran_RAN_UNKNOWN, messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN, err)
	}
	if len(body) > MaxReplyBytes {
		return &messenger.CallReply{Ran: messenger.Ran_RAN_YES, Status: http.StatusBadGateway, Detail: "the service's reply is too large"}
	}
	reply := &messenger.CallReply{Ran: messenger.Ran_RAN_YES, Status: uint32(resp.StatusCode), Body: body}
	// Messages between processes hold texts only.
	if contentType := resp.Header.Get("Content-Type"); contentType != "" && utf8.ValidString(contentType) {
		reply.Headers = []*messenger.Header{{Name: "Content-Type", Value: contentType}}
	}
	return reply
}

func failedReply(ran messenger.Ran, reason messenger.DeclineReason, err error) *messenger.CallReply {
	return &messenger.CallReply{Ran: ran, Reason: reason, Detail: err.Error()}
}

// ranAfter returns the ran field for a failed call: RAN_NO if no connection was
// established, since the call can't have run then, else RAN_UNKNOWN.
func ranAfter(err error) messenger.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return messenger.Ran_RAN_NO
	}
	return messenger.Ran_RAN_UNKNOWN
}

// noRedirect returns redirects to the caller: following one would send a call twice.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
