// Package tracer reads traces: recorded loads with faults, and the outcomes that
// their runs are checked against.
package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/registrar"
)

type (
	// Trace is a recorded load. Times are offsets from its start.
	Trace struct {
		Header
		// File is the path of the trace.
		File string
		// Contracts holds the contracts of ContractFiles by workspace.
		Contracts map[string]registrar.Contract
		// Steps are ordered by time.
		Steps []Step
	}

	// Header is the first line of a trace.
	Header struct {
		// Trace is a short description of the trace.
		Trace string `json:"trace"`
		// ContractFiles are the files of the contracts that are put in force before the
		// start, relative to the trace's folder.
		ContractFiles []string `json:"contracts"`
		// Keys are the callers' API keys by workspace.
		Keys map[string]string `json:"keys"`
		// System is the system that the load is meant for; a standalone system is built
		// to match it.
		System System `json:"system"`
		// Outcomes are checked in addition to the invariants of every run.
		Outcomes Outcomes `json:"outcomes"`
	}

	// System names the processes and backend servers.
	System struct {
		Entries  []Place `json:"entries"`
		Engines  []Place `json:"engines"`
		Services []Place `json:"services"`
		// Service is the name of the service that all of Services offer.
		Service string `json:"service"`
	}

	// Place is the name and failure domain of a process or backend server.
	Place struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failureDomain"`
	}

	// Outcomes are limits for a run. Missing ones are not checked; the invariants of
	// every run are always checked.
	Outcomes struct {
		// Incomplete, Refused and Unknown bound the number of generations that end that
		// way, UnknownCalls the number of calls with unknown outcome.
		Incomplete   *int `json:"incomplete,omitempty"`
		Refused      *int `json:"refused,omitempty"`
		Unknown      *int `json:"unknown,omitempty"`
		UnknownCalls *int `json:"unknownCalls,omitempty"`
		// FirstTokenP95, BetweenTokensP95 and BetweenTokensP99 bound the 95th and 99th
		// percentiles of the time to the first token and between tokens.
		FirstTokenP95    parser.Duration `json:"firstTokenP95,omitempty"`
		BetweenTokensP95 parser.Duration `json:"betweenTokensP95,omitempty"`
		BetweenTokensP99 parser.Duration `json:"betweenTokensP99,omitempty"`
		// Stall is the length above which a gap between tokens is a stall; 0 for 500 ms.
		Stall     parser.Duration `json:"stall,omitempty"`
		Stalls    *int            `json:"stalls,omitempty"`
		StallTime parser.Duration `json:"stallTime,omitempty"`
		// Interruption bounds the longest gap between tokens of any generation.
		Interruption parser.Duration `json:"interruption,omitempty"`
		Preemptions  *int            `json:"preemptions,omitempty"`
	}

	// Step is one line after the header. Exactly one of Generate, Call, Fault, Mark and
	// Stop is set.
	Step struct {
		// At is the time of the step.
		At       parser.Duration `json:"at"`
		Generate *Generate       `json:"generate,omitempty"`
		Call     *Call           `json:"call,omitempty"`
		Fault    *Fault          `json:"fault,omitempty"`
		Mark     *Mark           `json:"mark,omitempty"`
		Stop     *Stop           `json:"stop,omitempty"`
		// Line is the line number of the step in the file.
		Line int `json:"-"`
	}

	// Generate is a caller's request for a generation.
	Generate struct {
		Name      string `json:"name"`
		Workspace string `json:"workspace"`
		Model     string `json:"model"`
		// Kind is the caller's kind of request, such as seasonRota.
		Kind string `json:"kind"`
		// PromptTokens is the length of the whole prompt. Its first PrefixTokens are
		// shared by all requests with the same Prefix.
		PromptTokens int    `json:"promptTokens"`
		Prefix       string `json:"prefix,omitempty"`
		PrefixTokens int    `json:"prefixTokens,omitempty"`
		// Length is the length of the output in tokens, known only to the engine.
		Length int    `json:"length"`
		Seed   uint64 `json:"seed"`
		// VanishAfter is the number of tokens after which the caller disconnects. After
		// BackAfter it resumes at another entry. 0 for a caller who stays connected.
		VanishAfter int             `json:"vanishAfter,omitempty"`
		BackAfter   parser.Duration `json:"backAfter,omitempty"`
		// Whole requests the answer without streaming.
		Whole bool `json:"whole,omitempty"`
	}

	// Call is a caller's call to a service.
	Call struct {
		Name      string `json:"name"`
		Workspace string `json:"workspace"`
		Method    string `json:"method"`
		// Path is relative to the service.
		Path string `json:"path"`
		// Reference names the booking; the stand-in service counts how often it ran.
		Reference string `json:"reference,omitempty"`
		// Sends is how often the caller sends the call with the same idempotency key, each
		// time to another entry; 0 counts as 1. Together sends them concurrently.
		Sends    int  `json:"sends,omitempty"`
		Together bool `json:"together,omitempty"`
		// GiveUpAfter is the timeout of the first send; 0 waits for the answer.
		GiveUpAfter parser.Duration `json:"giveUpAfter,omitempty"`
	}

	// Fault is a fault of an engine or service.
	Fault struct {
		// Server is the name of an engine or service.
		Server string    `json:"server"`
		Kind   FaultKind `json:"kind"`
		// Count is the number of tokens to repeat or skip, or of replies to lose.
		Count int `json:"count,omitempty"`
		// Notice is the time between the announcement and the loss of a reclaimed engine.
		Notice parser.Duration `json:"notice,omitempty"`
		// For is how long a stall lasts.
		For parser.Duration `json:"for,omitempty"`
	}

	// FaultKind is the kind of a fault.
	FaultKind string

	// Mark is an operator's leave or return mark.
	Mark struct {
		Server  string `json:"server"`
		Leaving bool   `json:"leaving"`
	}

	// Stop is a planned stop of an entry.
	Stop struct {
		Process string `json:"process"`
	}

	// FindingsError holds all errors in a trace.
	FindingsError struct {
		File     string
		Findings []string
	}
)

// Kinds of faults.
const (
	FaultKill      FaultKind = "kill"
	FaultStall     FaultKind = "stall"
	FaultReclaim   FaultKind = "reclaim"
	FaultRepeat    FaultKind = "repeat"
	FaultSkip      FaultKind = "skip"
	FaultLoseReply FaultKind = "loseReply"
)

// maxLine is the maximum length of a line of a trace in bytes.
const maxLine = 1 << 20

var (
	_ error = &FindingsError{}

	faultKinds  = []FaultKind{FaultKill, FaultStall, FaultReclaim, FaultRepeat, FaultSkip, FaultLoseReply}
	nameForm    = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)
	lengthLimit = 100_000
)

// ReadFile reads a trace and its contracts. Its error is a *FindingsError with all
// findings.
func ReadFile(path string) (Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return Trace{}, &FindingsError{File: path, Findings: []string{"cannot be read: " + err.Error()}}
	}
	t, findings := readLines(f)
	if err := f.Close(); err != nil {
		findings = append(findings, "cannot be read: "+err.Error())
	}
	t.File = path
	t.Contracts = make(map[string]registrar.Contract)
	for _, name := range t.ContractFiles {
		if finding := t.readContract(filepath.Join(filepath.Dir(path), name)); finding != "" {
			findings = append(findings, "line 1: /contracts: "+finding)
		}
	}
	findings = append(findings, t.check()...)
	if len(findings) > 0 {
		return Trace{}, &FindingsError{File: path, Findings: findings}
	}
	return t, nil
}

// Error returns a heading and all findings, one per line.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("trace %s: %d findings\n  %s", e.File, len(e.Findings), strings.Join(e.Findings, "\n  "))
}

// Length returns the time of the last step.
func (t Trace) Length() time.Duration {
	if len(t.Steps) == 0 {
		return 0
	}
	return time.Duration(t.Steps[len(t.Steps)-1].At)
}

// IsBooking reports whether the call is a booking, whose runs the service counts.
func (c Call) IsBooking() bool {
	return c.Reference != "" && c.Method != http.MethodGet
}

// PromptText returns the prompt of a generation, one word per token.
func (g Generate) PromptText() string {
	var b strings.Builder
	for i := range g.PromptTokens {
		if i > 0 {
			b.WriteByte(' ')
		}
		if i < g.PrefixTokens {
			fmt.Fprintf(&b, "%s%d", g.Prefix, i)
			continue
		}
		fmt.Fprintf(&b, "%s.%d", g.Name, i)
	}
	return b.String()
}

func (t *Trace) readContract(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	var c registrar.Contract
	if err := decodeStrict(data, &c); err != nil {
		return path + ": " + err.Error()
	}
	if wrong := c.Check(); len(wrong) > 0 {
		return path + ": " + (&registrar.InvalidError{Findings: wrong}).Error()
	}
	t.Contracts[c.Workspace] = c
	return ""
}

// readLines reads the lines of a trace. It continues after an invalid line, to find
// all errors.
func readLines(r io.Reader) (Trace, []string) {
	var t Trace
	var findings []string
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var err error
		if n == 1 {
			err = decodeStrict(line, &t.Header)
		} else {
			s := Step{Line: n}
			err = decodeStrict(line, &s)
			t.Steps = append(t.Steps, s)
		}
		if err != nil {
			findings = append(findings, fmt.Sprintf("line %d: %v", n, err))
		}
	}
	if err := lines.Err(); err != nil {
		findings = append(findings, err.Error())
	}
	return t, findings
}

// decodeStrict decodes one JSON value and rejects unknown fields.
func decodeStrict(data []byte, value any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("text after the end of the JSON object")
	}
	return nil
}
