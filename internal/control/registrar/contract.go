// Package registrar is the replicated state machine of the control hosts. It
// holds contracts, leave marks, members, claims and fencing numbers, each with
// its own rules.
package registrar

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

type (
	// Contract holds the permissions, limits and service levels of one workspace.
	// Values are immutable: a change makes a new one with a higher number.
	Contract struct {
		// Workspace is the name of the workspace, which identifies the contract.
		Workspace string `json:"workspace"`
		// Number counts the accepted changes from 1 on and never falls.
		Number uint64 `json:"number,omitempty"`
		// Keys are the API keys of callers, stored as hashes only.
		Keys []APIKey `json:"keys"`
		// Models are the models that the workspace may use.
		Models []ModelRight `json:"models,omitempty"`
		// Services are the plain services that the workspace may call.
		Services []ServiceRight `json:"services,omitempty"`
		// Limits bound the workspace's traffic in the whole system.
		Limits Limits `json:"limits"`
		// Priority is sent to the engines with each request; higher is served first.
		Priority int32 `json:"priority,omitempty"`
		// Share is the workspace's weight in a queue, from 1 on; 0 means 1.
		Share uint32 `json:"share,omitempty"`
		// Weights are the workspace's costs of preemptions, stalls and tail latency.
		Weights Weights `json:"weights"`
		// Targets are the service levels against which the burn rate is reported.
		Targets Targets `json:"targets"`
		// Retention is how long claims of non-repeatable calls and their outcomes are
		// kept; 0 means DefaultRetention.
		Retention Duration `json:"retention,omitempty"`
	}

	// APIKey is one caller's key, by its hash.
	APIKey struct {
		Name string `json:"name"`
		// SHA256 is the key's hash in lower-case hex, 64 digits.
		SHA256 string `json:"sha256"`
	}

	// ModelRight permits a workspace to use one model, with an adapter if any.
	ModelRight struct {
		// Name is what callers write in a request's model field.
		Name    string `json:"name"`
		Model   string `json:"model"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
	}

	// ServiceRight permits a workspace to call one plain service.
	ServiceRight struct {
		Name   string  `json:"name"`
		Routes []Route `json:"routes,omitempty"`
	}

	// Route states whether the calls that match it may be repeated. Of the calls
	// that match no route, only GET and HEAD may be.
	Route struct {
		Method string `json:"method"`
		// PathPrefix is compared with the start of the path.
		PathPrefix string `json:"pathPrefix"`
		Repeatable bool   `json:"repeatable"`
	}

	// Limits bound a workspace over all entries together; 0 means no bound.
	Limits struct {
		RequestsPerSecond     float64 `json:"requestsPerSecond,omitempty"`
		ConcurrentGenerations uint32  `json:"concurrentGenerations,omitempty"`
		TokensPerSecond       float64 `json:"tokensPerSecond,omitempty"`
		TokensInFlight        uint64  `json:"tokensInFlight,omitempty"`
	}

	// Weights are relative costs, 0 or more.
	Weights struct {
		Preemptions float64 `json:"preemptions,omitempty"`
		StallTime   float64 `json:"stallTime,omitempty"`
		TailLatency float64 `json:"tailLatency,omitempty"`
	}

	// Targets are a workspace's service levels: the time to the first token, the time
	// between two tokens, and how often these must be met.
	Targets struct {
		FirstToken    Duration `json:"firstToken,omitempty"`
		BetweenTokens Duration `json:"betweenTokens,omitempty"`
		// Objective is the share of events that must meet the target, such as 0.95.
		Objective float64 `json:"objective,omitempty"`
	}

	// Duration is a time.Duration written as a string such as "250ms".
	Duration time.Duration
)

// HashKey returns the form in which an API key is stored: lower-case hex of
// its SHA-256 hash.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// MarshalText writes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// ModelRight returns the right whose Name is name.
func (c Contract) ModelRight(name string) (ModelRight, bool) {
	for _, m := range c.Models {
		if m.Name == name {
			return m, true
		}
	}
	return ModelRight{}, false
}

// Repeatable reports whether a call to a service may run more than once, and
// whether the workspace may call the service at all. The first matching route
// decides.
func (c Contract) Repeatable(service, method, path string) (repeatable, allowed bool) {
	for _, s := range c.Services {
		if s.Name != service {
			continue
		}
		for _, route := range s.Routes {
			if route.Method == method && strings.HasPrefix(path, route.PathPrefix) {
				return route.Repeatable, true
			}
		}
		return method == "GET" || method == "HEAD", true
	}
	return false, false
}
