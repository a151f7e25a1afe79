package parser

import (
	"fmt"
	"strings"
)

type (
	// Finding is one error in a settings file.
	Finding struct {
		// Place is the JSON pointer of the value; empty for the whole file.
		Place string `json:"place"`
		// Problem describes the error and how to correct it.
		Problem string `json:"problem"`
	}

	// FindingsError holds all findings of one settings file.
	FindingsError struct {
		File string
		// Findings holds at least one finding.
		Findings []Finding
	}
)

var _ error = &FindingsError{}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Place == "" {
		return f.Problem
	}
	return f.Place + ": " + f.Problem
}

// Error returns a heading and all findings, one per line.
func (e *FindingsError) Error() string {
	var b strings.Builder
	noun := "findings"
	if len(e.Findings) == 1 {
		noun = "finding"
	}
	fmt.Fprintf(&b, "settings %s: %d %s", e.File, len(e.Findings), noun)
	for _, f := range e.Findings {
		fmt.Fprintf(&b, "\n  %s", f)
	}
	return b.String()
}
