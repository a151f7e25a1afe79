package responder

import (
	"strings"

	"verbenareach/internal/control/registrar"
)

type (
	// PutReply is the response to a contract put.
	PutReply struct {
		registrar.ContractResult
		// Index is the log index that entries and agents must acknowledge for the change
		// to be in force.
		Index uint64 `json:"index"`
	}

	// MarkRequest sets a leave or return mark.
	MarkRequest struct {
		// Replaces is the number of the mark that this one replaces.
		Replaces uint64 `json:"replaces"`
		Leaving  bool   `json:"leaving"`
	}

	// MarkReply is the response to a leave or return mark.
	MarkReply struct {
		registrar.MarkResult
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
		// Unreachable are the control hosts that didn't respond. Servers lacks what only
		// they know.
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
		JoinedAt      int64  `json:"joinedAt,omitempty"`
		// Backend is the server's last announcement.
		Backend registrar.Backend `json:"backend"`
		Mark    registrar.Mark    `json:"mark"`
		// Confirmed is whether the agent now running has applied the mark.
		Confirmed bool `json:"confirmed"`
		// ConfirmedBy is "stream", "direct" or the name of an entry.
		ConfirmedBy string `json:"confirmedBy,omitempty"`
		// InProgress is the number of requests still running, OldestSeconds the age of
		// the oldest.
		InProgress    uint32 `json:"inProgress"`
		OldestSeconds uint32 `json:"oldestSeconds"`
		// SilentSeconds is the time since the agent's last message; -1 if no control host
		// that responded knows it.
		SilentSeconds float64 `json:"silentSeconds"`
	}

	// InForce lists the live entries and agents in which a change isn't in force yet.
	InForce struct {
		Index uint64 `json:"index"`
		// Live is the number of live entries and agents.
		Live int `json:"live"`
		// Missing are those that have not acknowledged.
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
		Index         uint64  `json:"index"`
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
	CodeBadKey      = "badKey"
	CodeBadRequest  = "badRequest"
	CodeInvalid     = "invalid"
	CodeNotFound    = "notFound"
	CodeRefused     = "refused"
	CodeTooLarge    = "tooLarge"
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
