package commander

import (
	"errors"

	"verbenareach/internal/config/parser"
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

var _ error = &exitError{}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error {
	return e.err
}

// exitCode returns the program's exit code for err. Findings in settings are usage
// errors.
func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var findings *parser.FindingsError
	if errors.As(err, &findings) {
		return exitUsage
	}
	return exitFailure
}
