// Package requester is the client of the operators' HTTP service.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/control/replicator"
	"verbenareach/internal/event/explainer"
	"verbenareach/internal/operator/responder"
	"verbenareach/internal/report/assessor"
)

type (
	// Requester asks control hosts for an operator. Its exported fields are set before use.
	Requester struct {
		// Addresses are the IP numbers and ports of the control hosts' operator
		// listeners; each is tried in turn.
		Addresses []string
		// Key is the operators' key.
		Key string
		// Operator is the name under which changes are recorded.
		Operator string

		mu sync.Mutex
		// first is the position of the control host that answered last.
		first int
	}

	// UnreachableError tells that no control host gave an answer.
	UnreachableError struct {
		// Ran is no if nothing was changed, unknown if a change may have been made.
		Ran    string
		Causes []error
	}
)

const (
	// requestTimeout bounds one request to one control host: one that is frozen or
	// cut off must not use up the time of the others.
	requestTimeout = 3 * time.Second
	// rounds is how often all control hosts are tried.
	rounds     = 3
	roundPause = 300 * time.Millisecond
	// pollEvery is the time between two looks at who has a change.
	pollEvery = 150 * time.Millisecond
	maxReply  = 64 << 20
)

var _ error = &UnreachableError{}

// Error tells what each control host answered.
func (e *UnreachableError) Error() string {
	text := "no control host could answer"
	if e.Ran == "unknown" {
		text += "; the change may have been made: run the same command again to learn its outcome"
	}
	for _, cause := range e.Causes {
		text += "\n  " + cause.Error()
	}
	return text
}

// Unwrap returns the causes.
func (e *UnreachableError) Unwrap() error {
	return errors.Join(e.Causes...)
}

// AddControlHost takes a control host into the membership.
func (c *Requester) AddControlHost(ctx context.Context, host replicator.Peer) (replicator.Status, error) {
	var s replicator.Status
	data, err := json.Marshal(host)
	if err != nil {
		return s, eris.Wrap(err, "control host")
	}
	err = c.do(ctx, http.MethodPost, "/v1/controlHosts", data, &s)
	return s, err
}

// ControlHosts returns the membership as a control host knows it, the leader if one answers.
func (c *Requester) ControlHosts(ctx context.Context) (replicator.Status, error) {
	var first replicator.Status
	var errs []error
	for _, address := range c.Addresses {
		var s replicator.Status
		err := c.once(ctx, address, http.MethodGet, "/v1/controlHosts", nil, &s)
		var refused *responder.RefusalError
		if errors.As(err, &refused) {
			return s, err
		}
		if err != nil {
			errs = append(errs, eris.Wrap(err, address))
			continue
		}
		if s.Role == "leader" {
			return s, nil
		}
		if first.Name == "" || s.Applied > first.Applied {
			first = s
		}
	}
	if first.Name == "" {
		return first, &UnreachableError{Ran: "no", Causes: errs}
	}
	return first, nil
}

// Contract returns a workspace's contract.
func (c *Requester) Contract(ctx context.Context, workspace string) (registrar.Contract, error) {
	var contract registrar.Contract
	err := c.do(ctx, http.MethodGet, "/v1/contracts/"+url.PathEscape(workspace), nil, &contract)
	return contract, err
}

// Contracts returns all contracts by workspace.
func (c *Requester) Contracts(ctx context.Context) (responder.ContractList, error) {
	var list responder.ContractList
	err := c.do(ctx, http.MethodGet, "/v1/contracts", nil, &list)
	return list, err
}

// History returns a contract's changes, oldest first.
func (c *Requester) History(ctx context.Context, workspace string) (responder.History, error) {
	var h responder.History
	err := c.do(ctx, http.MethodGet, "/v1/history/"+url.PathEscape(workspace), nil, &h)
	return h, err
}

// Mark sets a backend server's mark.
func (c *Requester) Mark(ctx context.Context, server string, m responder.MarkRequest) (responder.MarkReply, error) {
	var reply responder.MarkReply
	data, err := json.Marshal(m)
	if err != nil {
		return reply, eris.Wrap(err, "mark")
	}
	err = c.do(ctx, http.MethodPost, "/v1/servers/"+url.PathEscape(server)+"/marks", data, &reply)
	return reply, err
}

// Put replaces a workspace's contract. The text's number is the one that it replaces.
func (c *Requester) Put(ctx context.Context, workspace string, text []byte) (responder.PutReply, error) {
	var reply responder.PutReply
	err := c.do(ctx, http.MethodPut, "/v1/contracts/"+url.PathEscape(workspace), text, &reply)
	return reply, err
}

// Explain returns the story of a generation, call or request.
func (c *Requester) Explain(ctx context.Context, id string) (explainer.Story, error) {
	var story explainer.Story
	err := c.do(ctx, http.MethodGet, "/v1/explain/"+url.PathEscape(id), nil, &story)
	return story, err
}

// RemoveControlHost takes control hosts out of the membership, by id or name.
func (c *Requester) RemoveControlHost(ctx context.Context, id string) (replicator.Status, error) {
	var s replicator.Status
	err := c.do(ctx, http.MethodDelete, "/v1/controlHosts/"+url.PathEscape(id), nil, &s)
	return s, err
}

// Report returns the service-level burn of a workspace and model; empty names stand for all.
func (c *Requester) Report(ctx context.Context, workspace, model string) (assessor.Report, error) {
	var report assessor.Report
	err := c.do(ctx, http.MethodGet, "/v1/report?"+burnQuery(workspace, model), nil, &report)
	return report, err
}

// ReportPage returns the same as one HTML page.
func (c *Requester) ReportPage(ctx context.Context, workspace, model string) ([]byte, error) {
	var page []byte
	err := c.do(ctx, http.MethodGet, "/report?"+burnQuery(workspace, model), nil, &page)
	return page, err
}

// Servers returns all backend servers.
func (c *Requester) Servers(ctx context.Context) (responder.ServerList, error) {
	var list responder.ServerList
	err := c.do(ctx, http.MethodGet, "/v1/servers", nil, &list)
	return list, err
}

// WaitInForce waits until every live entry and agent has acknowledged a change,
// or ctx ends. It returns the last answer in both cases.
func (c *Requester) WaitInForce(ctx context.Context, index uint64) (responder.InForce, error) {
	var last responder.InForce
	for {
		var f responder.InForce
		err := c.do(ctx, http.MethodGet, "/v1/inForce?index="+strconv.FormatUint(index, 10), nil, &f)
		if err == nil {
			last = f
		}
		if err == nil && len(f.Missing) == 0 {
			return f, nil
		}
		select {
		case <-ctx.Done():
			if last.Index == 0 {
				return last, err
			}
			return last, nil
		case <-time.After(pollEvery):
		}
	}
}

// answered has the next request begin with the control host at a position.
func (c *Requester) answered(at int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = at
}

// start is the position of the control host to ask first.
func (c *Requester) start() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first
}

// do sends one request, to each control host in turn until one answers for good.
// All requests may be repeated: changes carry the number that they replace.
func (c *Requester) do(ctx context.Context, method, path string, body []byte, reply any) error {
	failed := &UnreachableError{Ran: "no"}
	for round := range rounds {
		if round > 0 {
			select {
			case <-ctx.Done():
				return failed
			case <-time.After(roundPause):
			}
		}
		failed.Causes = nil
		start := c.start()
		for i := range c.Addresses {
			at := (start + i) % len(c.Addresses)
			address := c.Addresses[at]
			err := c.once(ctx, address, method, path, body, reply)
			var refused *responder.RefusalError
			if err == nil || errors.As(err, &refused) && refused.Code != responder.CodeUnavailable {
				c.answered(at)
				return err
			}
			if method != http.MethodGet && mayHaveRun(err, refused) {
				failed.Ran = "unknown"
			}
			failed.Causes = append(failed.Causes, eris.Wrap(err, address))
			if ctx.Err() != nil {
				return failed
			}
		}
	}
	return failed
}

// once sends one request to one control host.
func (c *Requester) once(ctx context.Context, address, method, path string, body []byte, reply any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(responder.OperatorHeader, c.Operator)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	var refused responder.RefusalError
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &refused) == nil && refused.Code != "" {
		return &refused
	}
	if raw, ok := reply.(*[]byte); ok && resp.StatusCode == http.StatusOK {
		*raw = data
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return eris.Wrapf(err, "status %d, answer not understood", resp.StatusCode)
	}
	return nil
}

func burnQuery(workspace, model string) string {
	return url.Values{"workspace": {workspace}, "model": {model}}.Encode()
}

// mayHaveRun tells whether a failed change may have been made.
func mayHaveRun(err error, refused *responder.RefusalError) bool {
	if refused != nil {
		return refused.Ran != "no"
	}
	var failed *net.OpError
	return !errors.As(err, &failed) || failed.Op != "dial"
}
