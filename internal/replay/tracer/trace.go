// Package tracer reads traces: recorded loads with faults and the outcomes that
// a run of them is checked against.
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
	// Trace is one recorded load. Times are offsets from its start.
	Trace struct {
		Header
		// File is where the trace was read from.
		File string
		// Contracts are the contracts that the header names, by workspace.
		Contracts map[string]registrar.Contract
		// Steps are in the order of their times.
		Steps []Step
	}

	// Header is the first line of a trace.
	Header struct {
		// Trace says in a few words what the trace is of.
		Trace string `json:"trace"`
		// Contracts are files, relative to the trace's folder, that are put before the start.
		ContractFiles []string `json:"contracts"`
		// Keys are the callers' API keys by workspace.
		Keys map[string]string `json:"keys"`
		// System is what the load is meant for; a standalone system is made like it.
		System System `json:"system"`
		// Outcomes are what a run must show besides what must always hold.
		Outcomes Outcomes `json:"outcomes"`
	}

	// System names the processes and backend servers.
	System struct {
		Entries  []Place `json:"entries"`
		Engines  []Place `json:"engines"`
		Services []Place `json:"services"`
		// Service is the name of the plain service that all of Services offer.
		Service string `json:"service"`
	}

	// Place is one process or backend server and where it is.
	Place struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failureDomain"`
	}

	// Outcomes bound what a run may show. What is left out is not checked; what must
	// always hold is checked without being stated.
	Outcomes struct {
		// Incomplete, Refused and Unknown bound how many generations end so, UnknownCalls
		// how many calls.
		Incomplete   *int `json:"incomplete,omitempty"`
		Refused      *int `json:"refused,omitempty"`
		Unknown      *int `json:"unknown,omitempty"`
		UnknownCalls *int `json:"unknownCalls,omitempty"`
		// FirstTokenP95 and BetweenTokensP95 bound 95 in 100.
		FirstTokenP95    parser.Duration `json:"firstTokenP95,omitempty"`
		BetweenTokensP95 parser.Duration `json:"betweenTokensP95,omitempty"`
		BetweenTokensP99 parser.Duration `json:"betweenTokensP99,omitempty"`
		// Stall is how long a gap between tokens must be to count; 500 ms if left out.
		Stall     parser.Duration `json:"stall,omitempty"`
		Stalls    *int            `json:"stalls,omitempty"`
		StallTime parser.Duration `json:"stallTime,omitempty"`
		// Interruption bounds the longest gap between tokens of any generation.
		Interruption parser.Duration `json:"interruption,omitempty"`
		Preemptions  *int            `json:"preemptions,omitempty"`
	}

	// Step is one line after the header: exactly one of its parts is set.
	Step struct {
		// At is when it happens.
		At       parser.Duration `json:"at"`
		Generate *Generate       `json:"generate,omitempty"`
		Call     *Call           `json:"call,omitempty"`
		Fault    *Fault          `json:"fault,omitempty"`
		Mark     *Mark           `json:"mark,omitempty"`
		Stop     *Stop           `json:"stop,omitempty"`
		// Line is where the step stands in the file.
		Line int `json:"-"`
	}

	// Generate is a caller's request for a generation.
	Generate struct {
		Name      string `json:"name"`
		Workspace string `json:"workspace"`
		Model     string `json:"model"`
		// Kind is what the request is, such as seasonRota.
		Kind string `json:"kind"`
		// PromptTokens is the whole prompt; its first PrefixTokens are those of all
		// requests with the same Prefix.
		PromptTokens int    `json:"promptTokens"`
		Prefix       string `json:"prefix,omitempty"`
		PrefixTokens int    `json:"prefixTokens,omitempty"`
		// Length of the output in tokens, which only the engine knows.
		Length int    `json:"length"`
		Seed   uint64 `json:"seed"`
		// VanishAfter is how many tokens the caller reads before it goes away for
		// BackAfter; it then resumes at another entry. 0 for a caller who stays.
		VanishAfter int             `json:"vanishAfter,omitempty"`
		BackAfter   parser.Duration `json:"backAfter,omitempty"`
		// Whole asks for the answer in one piece.
		Whole bool `json:"whole,omitempty"`
	}

	// Call is a caller's call to a plain service.
	Call struct {
		Name      string `json:"name"`
		Workspace string `json:"workspace"`
		Method    string `json:"method"`
		// Path below the service.
		Path string `json:"path"`
		// Reference names the booking; the stand-in service counts how often it ran.
		Reference string `json:"reference,omitempty"`
		// Sends is how often the caller sends it under the same key, each time to
		// another entry; 0 counts as 1. Together makes them cross each other.
		Sends    int  `json:"sends,omitempty"`
		Together bool `json:"together,omitempty"`
		// GiveUpAfter cuts the first send's connection; 0 waits for the answer.
		GiveUpAfter parser.Duration `json:"giveUpAfter,omitempty"`
	}

	// Fault is something that goes wrong at an interface.
	Fault struct {
		// Server is the name of an engine or service.
		Server string    `json:"server"`
		Kind   FaultKind `json:"kind"`
		// Count of tokens to repeat or skip, or of answers to lose.
		Count int `json:"count,omitempty"`
		// Notice is how long before it goes a reclaimed engine says so.
		Notice parser.Duration `json:"notice,omitempty"`
		// For is how long a stall lasts.
		For parser.Duration `json:"for,omitempty"`
	}

	// FaultKind says what goes wrong.
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

	// FindingsError holds all that is wrong in a trace.
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

// maxLine bounds a line of a trace in bytes.
const maxLine = 1 << 20

var (
	_ error = &FindingsError{}

	faultKinds  = []FaultKind{FaultKill, FaultStall, FaultReclaim, FaultRepeat, FaultSkip, FaultLoseReply}
	nameForm    = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)
	lengthLimit = 100_000
)

// ReadFile reads a trace and the contracts that it names. Its error is a
// *FindingsError with all that is wrong.
func ReadFile(path string) (Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return Trace{}, &FindingsError{File: path, Findings: []string{"cannot be read: " + err.Error()}}
	}
	t, findings := read(f)
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

// Error returns all findings, each on a line of its own.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("trace %s: %d findings\n  %s", e.File, len(e.Findings), strings.Join(e.Findings, "\n  "))
}

// Length returns when the last step happens.
func (t Trace) Length() time.Duration {
	if len(t.Steps) == 0 {
		return 0
	}
	return time.Duration(t.Steps[len(t.Steps)-1].At)
}

// Books tells whether a call has an effect that the service counts.
func (c Call) Books() bool {
	return c.Reference != "" && c.Method != http.MethodGet
}

// PromptText returns the prompt of a generation: words, each one a token.
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
	if err := strict(data, &c); err != nil {
		return path + ": " + err.Error()
	}
	if wrong := c.Check(); len(wrong) > 0 {
		return path + ": " + (&registrar.InvalidError{Findings: wrong}).Error()
	}
	t.Contracts[c.Workspace] = c
	return ""
}

// read reads the lines of a trace; what is wrong with one does not hide the next.
func read(r io.Reader) (Trace, []string) {
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
			err = strict(line, &t.Header)
		} else {
			s := Step{Line: n}
			err = strict(line, &s)
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

// strict reads JSON that may hold no unknown fields.
func strict(data []byte, value any) error {
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
