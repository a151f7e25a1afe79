package responder

import (
	"strings"

	"verbenareach/internal/control/registrar"
)

type (
	// PutReply answers a contract put.
	PutReply struct {
		registrar.ContractResult
		// Index is the log index to wait for until the change is in force.
		Index uint64 `json:"index"`
	}

	// MarkRequest asks for a leave or return mark.
	MarkRequest struct {
		// Replaces is the number of the mark that this one replaces.
		Replaces uint64 `json:"replaces"`
		Leaving  bool   `json:"leaving"`
	}

	// MarkReply answers a leave or return mark.
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
		// Unreachable are the control hosts that could not be asked; what only
		// they know is missing.
		Unreachable []string `json:"unreachable,omitempty"`
	}

	// Server is one backend server as operators see it.
	Server struct {
		Name string `json:"name"`
		// Live tells that its agent is a member.
		Live          bool   `json:"live"`
		FailureDomain string `json:"failureDomain,omitempty"`
		Region        string `json:"region,omitempty"`
		Address       string `json:"address,omitempty"`
		Incarnation   uint64 `json:"incarnation,omitempty"`
		JoinedAt      int64  `json:"joinedAt,omitempty"`
		// Backend is what it announced of itself.
		Backend registrar.Backend `json:"backend"`
		Mark    registrar.Mark    `json:"mark"`
		// Confirmed tells that the agent now running obeys the mark.
		Confirmed bool `json:"confirmed"`
		// ConfirmedBy is stream, direct or the name of an entry.
		ConfirmedBy string `json:"confirmedBy,omitempty"`
		// InProgress and OldestSeconds are of the requests that still run.
		InProgress    uint32 `json:"inProgress"`
		OldestSeconds uint32 `json:"oldestSeconds"`
		// SilentSeconds is how long nothing was heard; -1 if no control host asked knows.
		SilentSeconds float64 `json:"silentSeconds"`
	}

	// InForce tells where a change is in force.
	InForce struct {
		Index uint64 `json:"index"`
		// Live counts the entries and agents.
		Live int `json:"live"`
		// Missing are those that have not acknowledged.
		Missing []Missing `json:"missing"`
		// Unreachable are the control hosts that could not be asked.
		Unreachable []string `json:"unreachable,omitempty"`
	}

	// Missing is a live entry or agent that has not acknowledged a change.
	Missing struct {
		Name    string `json:"name"`
		Role    string `json:"role"`
		Address string `json:"address"`
		// Index is what it acknowledged last; 0 if no control host asked knows.
		Index         uint64  `json:"index"`
		SilentSeconds float64 `json:"silentSeconds"`
	}

	// RefusalError is the body of every refusal.
	RefusalError struct {
		// Code is stable, such as badKey.
		Code    string `json:"code"`
		Message string `json:"message"`
		// Ran is no if nothing was changed, unknown if a change may have been made.
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

// Unwrap returns nil: a refusal has no cause here.
func (e *RefusalError) Unwrap() error {
	return nil
}
