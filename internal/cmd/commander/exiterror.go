package commander

import (
	"errors"

	"verbenareach/internal/config/parser"
)

// exitError is an error that ends the program with a code of its own.
type exitError struct {
	code int
	err  error
}

var _ error = &exitError{}

// Error returns the text of the error within.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the error within.
func (e *exitError) Unwrap() error {
	return e.err
}

// exitCode returns the code with which the program ends after err: findings in
// settings count as wrong use.
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
