package responder

import (
	"strings"

	"verbenareach/internal/control/registrar"
)

type (
	// PutReply is the response to a PUT of a contract.
	PutReply struct {
		registrar.ContractResult
		// Index is the log index that entries and agents must acknowledge for the change
		// to be in force.
		Index uint64 `json:"index"`
	}

	// MarkRequest is the body of a request that sets the mark of a backend server. Leaving
	// true takes the server out of service, false returns it.
	MarkRequest struct {
		// Replaces is the number of the mark that this one replaces; 0 for the first.
		Replaces uint64 `json:"replaces"`
		Leaving  bool   `json:"leaving"`
	}

	// MarkReply is the response to a MarkRequest.
	MarkReply struct {
		registrar.MarkResult
		// Index is that of the control host's view after the change. Entries and agents
		// that acknowledged it have the mark.
		Index uint64 `json:"index"`
	}

	// ContractList holds all contracts.
	ContractList struct {
		Contracts []registrar.Contract `json:"contracts"`
	}

	// History holds the changes of a contract, oldest first.
	History struct {
		Workspace string             `json:"workspace"`
		Records   []registrar.Record `json:"records"`
	}

	// ServerList holds all backend servers that are live or have a mark.
	ServerList struct {
		Servers []Server `json:"servers"`
		// Unreachable are the control hosts that didn't respond. What only they know is
		// missing from Servers.
		Unreachable []string `json:"unreachable,omitempty"`
	}

	// Server is one backend server as operators see it.
	Server struct {
		Name string `json:"name"`
		// Live is whether the server's agent is a member.
		Live          bool   `json:"live"`
		FailureDomain string `json:"failureDomain,omitempty"`
		Region        string `json:"region,omitempty"`
		Address       string `json:"address,omitempty"`
		Incarnation   uint64 `json:"incarnation,omitempty"`
		// JoinedAt is when the current incarnation joined, in Unix nanoseconds; 0 if the
		// server is not live.
		JoinedAt int64 `json:"joinedAt,omitempty"`
		// Backend is what the agent announced last.
		Backend registrar.Backend `json:"backend"`
		// Mark is the mark in force; its Number is 0 if there is none.
		Mark registrar.Mark `json:"mark"`
		// Confirmed is whether the current incarnation has applied the mark or a newer one.
		Confirmed bool `json:"confirmed"`
		// ConfirmedBy is "stream" if the agent reported the mark to control, "direct" if it
		// acknowledged the mark to a control host, or else the name of the entry through
		// which it acknowledged it.
		ConfirmedBy string `json:"confirmedBy,omitempty"`
		// InProgress is the number of requests still running, OldestSeconds the age of
		// the oldest.
		InProgress    uint32 `json:"inProgress"`
		OldestSeconds uint32 `json:"oldestSeconds"`
		// SilentSeconds is the time since the last message of the current incarnation; -1
		// if no control host that responded has received one, or the server is not live.
		SilentSeconds float64 `json:"silentSeconds"`
	}

	// InForce says how far a change is in force: it lists the live entries and agents in
	// which it isn't yet.
	InForce struct {
		// Index is the log index of the change, as given in the request.
		Index uint64 `json:"index"`
		// Live is the number of live entries and agents.
		Live int `json:"live"`
		// Missing are those that have not acknowledged Index.
		Missing []Missing `json:"missing"`
		// Unreachable are the control hosts that didn't respond.
		Unreachable []string `json:"unreachable,omitempty"`
	}

	// Missing is a live entry or agent that has not acknowledged a change.
	Missing struct {
		Name    string `json:"name"`
		Role    string `json:"role"`
		Address string `json:"address"`
		// Index is the last index acknowledged; 0 if no control host that responded knows
		// it.
		Index uint64 `json:"index"`
		// SilentSeconds is as in Server.
		SilentSeconds float64 `json:"silentSeconds"`
	}

	// RefusalError is the body of every response that refuses a request.
	RefusalError struct {
		// Code is one of the Code constants, such as badKey. Codes are stable.
		Code    string `json:"code"`
		Message string `json:"message"`
		// Ran is "no" if nothing was changed, "unknown" if a change may have been made.
		Ran      string              `json:"ran"`
		Findings []registrar.Finding `json:"findings,omitempty"`
	}
)

var _ error = &RefusalError{}

// Codes of refusals.
const (
	// CodeBadKey: the operator key is missing or wrong.
	CodeBadKey = "badKey"
	// CodeBadRequest: the body can't be read or is no JSON, or a query parameter is invalid.
	CodeBadRequest = "badRequest"
	// CodeInvalid: the contract, mark or control host in the body is invalid.
	CodeInvalid = "invalid"
	// CodeNotFound: the workspace has no contract.
	CodeNotFound = "notFound"
	// CodeRefused: the control hosts refused a change of their membership.
	CodeRefused = "refused"
	// CodeTooLarge: the body is over 1 MiB.
	CodeTooLarge = "tooLarge"
	// CodeUnavailable: no quorum answered, the disk of the control host is full, or another
	// host must be asked. Ran says whether a change may have been made.
	CodeUnavailable = "unavailable"
)

// Error returns the message and the findings, each on a line of its own.
func (e *RefusalError) Error() string {
	lines := []string{e.Message}
	for _, f := range e.Findings {
		lines = append(lines, "  "+f.Place+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns nil: a refusal's cause isn't sent to the client.
func (e *RefusalError) Unwrap() error {
	return nil
}
