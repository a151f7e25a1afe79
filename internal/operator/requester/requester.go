// Package requester is the client of the operators' HTTP API.
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
	// Requester sends an operator's requests to the control hosts. Set its exported
	// fields before use.
	Requester struct {
		// Addresses are the IP numbers and ports of the control hosts' operator
		// listeners. They are tried in turn.
		Addresses []string
		// Key is the operators' key.
		Key string
		// Operator is the operator's name, which is recorded with changes.
		Operator string

		mu sync.Mutex
		// preferred is the position in Addresses of the control host that answered last.
		preferred int
	}

	// UnreachableError reports that every control host was unreachable or unavailable.
	UnreachableError struct {
		// Ran is "no" if nothing was changed, "unknown" if a change may have been made.
		Ran    string
		Causes []error
	}
)

const (
	// requestTimeout bounds one request to one control host, so that a host that is
	// frozen or cut off leaves time to try the others.
	requestTimeout = 3 * time.Second
	// maxRounds is how often each control host is tried.
	maxRounds  = 3
	roundPause = 300 * time.Millisecond
	// pollEvery is the interval at which WaitInForce polls.
	pollEvery     = 150 * time.Millisecond
	maxReplyBytes = 64 << 20
)

var _ error = &UnreachableError{}

// Error returns a message with the error of each control host.
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

// AddControlHost adds a control host to the membership.
func (c *Requester) AddControlHost(ctx context.Context, host replicator.Peer) (replicator.Status, error) {
	var s replicator.Status
	data, err := json.Marshal(host)
	if err != nil {
		return s, eris.Wrap(err, "control host")
	}
	err = c.do(ctx, http.MethodPost, "/v1/controlHosts", data, &s)
	return s, err
}

// ControlHosts returns the membership as the leader reports it. If no leader answers, it
// returns the status with the highest applied index, and an UnreachableError if no host
// answers. Each host is tried at most once; the first refusal is returned.
func (c *Requester) ControlHosts(ctx context.Context) (replicator.Status, error) {
	var newest replicator.Status
	var errs []error
	for _, address := range c.Addresses {
		var s replicator.Status
		err := c.send(ctx, address, http.MethodGet, "/v1/controlHosts", nil, &s)
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
		if newest.Name == "" || s.Applied > newest.Applied {
			newest = s
		}
	}
	if newest.Name == "" {
		return newest, &UnreachableError{Ran: "no", Causes: errs}
	}
	return newest, nil
}

// Contract returns a workspace's contract.
func (c *Requester) Contract(ctx context.Context, workspace string) (registrar.Contract, error) {
	var contract registrar.Contract
	err := c.do(ctx, http.MethodGet, "/v1/contracts/"+url.PathEscape(workspace), nil, &contract)
	return contract, err
}

// Contracts returns all contracts, sorted by workspace.
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

// SetMark sets a backend server's leave or return mark.
func (c *Requester) SetMark(ctx context.Context, server string, m responder.MarkRequest) (responder.MarkReply, error) {
	var reply responder.MarkReply
	data, err := json.Marshal(m)
	if err != nil {
		return reply, eris.Wrap(err, "mark")
	}
	err = c.do(ctx, http.MethodPost, "/v1/servers/"+url.PathEscape(server)+"/marks", data, &reply)
	return reply, err
}

// PutContract replaces a workspace's contract with the one in text, in JSON. The number in text
// is that of the contract to replace.
func (c *Requester) PutContract(ctx context.Context, workspace string, text []byte) (responder.PutReply, error) {
	var reply responder.PutReply
	err := c.do(ctx, http.MethodPut, "/v1/contracts/"+url.PathEscape(workspace), text, &reply)
	return reply, err
}

// Explain returns the recorded events of a generation, call or request.
func (c *Requester) Explain(ctx context.Context, id string) (explainer.Timeline, error) {
	var timeline explainer.Timeline
	err := c.do(ctx, http.MethodGet, "/v1/explain/"+url.PathEscape(id), nil, &timeline)
	return timeline, err
}

// RemoveControlHost removes control hosts from the membership, by id or name.
func (c *Requester) RemoveControlHost(ctx context.Context, id string) (replicator.Status, error) {
	var s replicator.Status
	err := c.do(ctx, http.MethodDelete, "/v1/controlHosts/"+url.PathEscape(id), nil, &s)
	return s, err
}

// Report returns the error budget burn of a workspace and model. An empty name selects all.
func (c *Requester) Report(ctx context.Context, workspace, model string) (assessor.Report, error) {
	var report assessor.Report
	err := c.do(ctx, http.MethodGet, "/v1/report?"+reportQuery(workspace, model), nil, &report)
	return report, err
}

// ReportPage returns the report as an HTML page.
func (c *Requester) ReportPage(ctx context.Context, workspace, model string) ([]byte, error) {
	var page []byte
	err := c.do(ctx, http.MethodGet, "/report?"+reportQuery(workspace, model), nil, &page)
	return page, err
}

// Servers returns all backend servers.
func (c *Requester) Servers(ctx context.Context) (responder.ServerList, error) {
	var list responder.ServerList
	err := c.do(ctx, http.MethodGet, "/v1/servers", nil, &list)
	return list, err
}

// WaitInForce polls until every live entry and agent has acknowledged the change at
// index or ctx ends, and returns the last reply. It fails only if ctx ends before
// there is a reply: refused requests are repeated, too.
func (c *Requester) WaitInForce(ctx context.Context, index uint64) (responder.InForce, error) {
	var last responder.InForce
	for {
		var inForce responder.InForce
		err := c.do(ctx, http.MethodGet, "/v1/inForce?index="+strconv.FormatUint(index, 10), nil, &inForce)
		if err == nil {
			last = inForce
		}
		if err == nil && len(inForce.Missing) == 0 {
			return inForce, nil
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

// setPreferred makes the next request start with the control host at position.
func (c *Requester) setPreferred(position int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = position
}

// preferredHost returns the position of the control host to try first.
func (c *Requester) preferredHost() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.preferred
}

// do sends one request to each control host in turn, until one responds with a result
// or a refusal other than CodeUnavailable. Repeating a request is safe, since changes
// carry the number that they replace.
func (c *Requester) do(ctx context.Context, method, path string, body []byte, reply any) error {
	unreachable := &UnreachableError{Ran: "no"}
	for round := range maxRounds {
		if round > 0 {
			select {
			case <-ctx.Done():
				return unreachable
			case <-time.After(roundPause):
			}
		}
		unreachable.Causes = nil
		start := c.preferredHost()
		for i := range c.Addresses {
			position := (start + i) % len(c.Addresses)
			address := c.Addresses[position]
			err := c.send(ctx, address, method, path, body, reply)
			var refused *responder.RefusalError
			if err == nil || errors.As(err, &refused) && refused.Code != responder.CodeUnavailable {
				c.setPreferred(position)
				return err
			}
			if method != http.MethodGet && mayHaveRun(err, refused) {
				unreachable.Ran = "unknown"
			}
			unreachable.Causes = append(unreachable.Causes, eris.Wrap(err, address))
			if ctx.Err() != nil {
				return unreachable
			}
		}
	}
	return unreachable
}

// send sends one request to one control host. It decodes the response into reply, or sets
// reply to the unchanged body if it is a *[]byte. It returns a RefusalError if the host
// refuses the request.
func (c *Requester) send(ctx context.Context, address, method, path string, body []byte, reply any) (err error) {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
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
	if !carriesResult(resp.StatusCode) {
		return eris.Errorf("status %d, answer is no result", resp.StatusCode)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return eris.Wrapf(err, "status %d, answer not understood", resp.StatusCode)
	}
	return nil
}

// carriesResult reports whether a control host sends results with the status. With 409 and 422 the result
// is that a change wasn't made.
func carriesResult(status int) bool {
	return status == http.StatusOK || status == http.StatusConflict || status == http.StatusUnprocessableEntity
}

func reportQuery(workspace, model string) string {
	return url.Values{"workspace": {workspace}, "model": {model}}.Encode()
}

// mayHaveRun reports whether a failed change may have been made.
func mayHaveRun(err error, refused *responder.RefusalError) bool {
	if refused != nil {
		return refused.Ran != "no"
	}
	var opErr *net.OpError
	return !errors.As(err, &opErr) || opErr.Op != "dial"
}
