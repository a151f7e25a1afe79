// Package driver provides the system for a replayed trace: processes that run at
// given addresses, or a standalone system built for the trace.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/operator/requester"
	"verbenareach/internal/operator/responder"
	"verbenareach/internal/replay/checker"
	"verbenareach/internal/replay/replayer"
	"verbenareach/internal/replay/tracer"
	serviceemulator "verbenareach/internal/service/emulator"
)

// Processes replays a trace against running processes. Its fields must be set before
// use.
type Processes struct {
	Trace tracer.Trace
	// Operator is the client of the operators' API.
	Operator *requester.Requester
	// Entries are the addresses of the trace's entries, in its order.
	Entries []string
	// Engines and Services are the addresses of the stand-ins by backend server name.
	// Missing ones get no faults and are not queried.
	Engines  map[string]string
	Services map[string]string
}

const (
	inForceLimit   = 30 * time.Second
	requestTimeout = 5 * time.Second
	maxAnswer      = 1 << 20
	// maxPutTries bounds how often a put is tried if another operator changes the
	// contract at the same time.
	maxPutTries = 5
)

// Replayer returns a replayer for the trace.
func (p *Processes) Replayer(runID string) *replayer.Replayer {
	return &replayer.Replayer{
		Trace: p.Trace, Entries: p.Entries, RunID: runID,
		Put: p.putContracts, Mark: p.mark, Fault: p.fault, Runs: p.runs, Preemptions: p.preemptions,
	}
}

// Admitted returns a function that looks up in the agents' records when an attempt
// was admitted, relative to started, the start of the run.
func (p *Processes) Admitted(ctx context.Context, started time.Time) checker.Admitted {
	return func(g replayer.Generation, v replayer.Attempt) (time.Duration, bool) {
		timeline, err := p.Operator.Explain(ctx, g.ID)
		if err != nil {
			return 0, false
		}
		for _, step := range timeline.Steps {
			if step.Process != v.Server || step.Event != logger.WorkAdmitted.Code() {
				continue
			}
			for _, part := range step.Details {
				if part.Key == "epoch" && part.Value == fmt.Sprint(v.Epoch) {
					return step.At.Sub(started), true
				}
			}
		}
		return 0, false
	}
}

func (p *Processes) fault(ctx context.Context, f tracer.Fault) error {
	address, ok := p.Engines[f.Server]
	if !ok || f.Kind == tracer.FaultLoseReply {
		return &replayer.NotDrivenError{What: fmt.Sprintf("%s of %s", f.Kind, f.Server)}
	}
	order := emulator.FaultOrder{Kind: string(f.Kind), Count: f.Count, Notice: f.Notice}
	if err := sendJSON(ctx, http.MethodPost, "http://"+address+"/v1/faults", order, nil); err != nil || f.Kind != tracer.FaultStall {
		return err
	}
	select {
	case <-time.After(time.Duration(f.For)):
	case <-ctx.Done():
		return ctx.Err()
	}
	return sendJSON(ctx, http.MethodPost, "http://"+address+"/v1/faults", emulator.FaultOrder{Kind: "resume"}, nil)
}

// mark replaces a backend server's newest mark.
func (p *Processes) mark(ctx context.Context, server string, leaving bool) error {
	list, err := p.Operator.Servers(ctx)
	if err != nil {
		return err
	}
	replaces := uint64(0)
	for _, s := range list.Servers {
		if s.Name == server {
			replaces = s.Mark.Number
		}
	}
	reply, err := p.Operator.SetMark(ctx, server, responder.MarkRequest{Replaces: replaces, Leaving: leaving})
	if err != nil {
		return err
	}
	if reply.Outcome == registrar.OutcomeConflict || reply.Outcome == registrar.OutcomeInvalid {
		return fmt.Errorf("the mark of %s was not accepted: %s", server, reply.Outcome)
	}
	return nil
}

// preemptions returns the sum of the preemptions of the stand-in engines.
func (p *Processes) preemptions(ctx context.Context) (uint64, error) {
	if len(p.Engines) < len(p.Trace.System.Engines) {
		return 0, errors.New("not all engines' addresses are known")
	}
	sum := uint64(0)
	for _, address := range p.Engines {
		var load struct {
			Preemptions uint64 `json:"preemptions"`
		}
		if err := sendJSON(ctx, http.MethodGet, "http://"+address+"/v1/load", nil, &load); err != nil {
			return 0, err
		}
		sum += load.Preemptions
	}
	return sum, nil
}

// putContracts replaces the workspaces' contracts with those of the trace and waits
// until all are in force.
func (p *Processes) putContracts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	index := uint64(0)
	for _, c := range p.Trace.Contracts {
		reply, err := p.putContract(ctx, c)
		if err != nil {
			return err
		}
		index = max(index, reply.Index)
	}
	inForce, err := p.Operator.WaitInForce(ctx, index)
	if err != nil {
		return err
	}
	if len(inForce.Missing) > 0 {
		return fmt.Errorf("the contracts are not in force everywhere: %s has not acknowledged", inForce.Missing[0].Name)
	}
	return nil
}

func (p *Processes) putContract(ctx context.Context, c registrar.Contract) (responder.PutReply, error) {
	for range maxPutTries {
		current, err := p.Operator.Contract(ctx, c.Workspace)
		var refused *responder.RefusalError
		if err != nil && (!errors.As(err, &refused) || refused.Code != responder.CodeNotFound) {
			return responder.PutReply{}, err
		}
		c.Number = current.Number
		text, err := json.Marshal(c)
		if err != nil {
			return responder.PutReply{}, eris.Wrap(err, "contract")
		}
		reply, err := p.Operator.PutContract(ctx, c.Workspace, text)
		if err != nil || reply.Outcome != registrar.OutcomeConflict {
			return reply, err
		}
	}
	return responder.PutReply{}, fmt.Errorf("the contract of %s is changed by others all the time", c.Workspace)
}

// runs returns how often the stand-in services ran a booking in total.
func (p *Processes) runs(ctx context.Context, path, reference string) (int, error) {
	if len(p.Services) < len(p.Trace.System.Services) {
		return 0, errors.New("not all services' addresses are known")
	}
	sum := 0
	for _, address := range p.Services {
		var count serviceemulator.RunCount
		err := sendJSON(ctx, http.MethodGet, "http://"+address+path+"/"+url.PathEscape(reference), nil, &count)
		if err != nil && !errors.Is(err, errNotFound) {
			return 0, err
		}
		sum += count.Runs
	}
	return sum, nil
}

var errNotFound = errors.New("not found")

// sendJSON sends a JSON request to a stand-in and decodes the JSON answer into reply,
// unless that is nil.
func sendJSON(ctx context.Context, method, target string, body, reply any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var text []byte
	if body != nil {
		if text, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusNotFound:
		return errNotFound
	case resp.StatusCode >= http.StatusBadRequest:
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(data)))
	case reply == nil:
		return nil
	}
	return json.Unmarshal(data, reply)
}

// noLogger returns nil, as a replay only shows what callers saw.
func noLogger(parser.Settings) *logger.Logger {
	return nil
}
