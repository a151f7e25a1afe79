package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"verbenareach/internal/entry/booker"
	"verbenareach/internal/entry/limiter"
	"verbenareach/internal/entry/queuer"
	"verbenareach/internal/entry/relayer"
	"verbenareach/internal/wire/messenger"
)

type (
	// RefusalError is an error response to a caller.
	RefusalError struct {
		// Status is the HTTP status.
		Status int
		// Code is stable and meant for programs.
		Code    string
		Message string
		// Ran is whether the request ran.
		Ran messenger.Ran
		// RetryAfter is the time after which to retry; 0 if unknown. The response has it in
		// whole seconds, rounded up.
		RetryAfter time.Duration
	}

	errorBody struct {
		Error errorDetail `json:"error"`
		// Ran is no, yes or unknown.
		Ran string `json:"ran"`
	}

	errorDetail struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Type    string `json:"type"`
	}
)

var _ error = &RefusalError{}

// Error returns code and message.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("%s: %s", r.Code, r.Message)
}

// refuse returns a refusal of a request that did not run.
func refuse(status int, code, message string) *RefusalError {
	return &RefusalError{Status: status, Code: code, Message: message, Ran: messenger.Ran_RAN_NO}
}

// refusalOf returns the error response for an error of the limiter, queue, relayer or
// booker, and for any other error an internal one whose request may have run.
func refusalOf(err error) *RefusalError {
	var (
		refusal      *RefusalError
		notRun       *relayer.NotRunError
		incomplete   *relayer.IncompleteError
		notFound     *relayer.NotFoundError
		refused      *relayer.RefusedError
		callNotRun   *booker.NotRunError
		unknown      *booker.UnknownError
		conflict     *booker.ConflictError
		limited      *limiter.RefusedError
		queueRefused *queuer.RefusedError
	)
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &limited):
		return limitRefusal(limited)
	case provesNotRun(err) && errors.As(err, &queueRefused):
		r := refuse(http.StatusServiceUnavailable, string(queueRefused.Cause), queueRefused.Error())
		r.RetryAfter = queueRefused.RetryAfter
		return r
	case errors.As(err, &notRun), errors.As(err, &callNotRun):
		r := refuse(http.StatusServiceUnavailable, "noBackendServer", err.Error())
		r.RetryAfter = time.Second
		return r
	case errors.As(err, &incomplete):
		return &RefusalError{Status: http.StatusBadGateway, Code: "incomplete", Message: incomplete.Cause, Ran: incomplete.Ran}
	case errors.As(err, &refused):
		return refuse(refused.Status, "engineRefused", refused.Cause)
	case errors.As(err, &notFound):
		r := refuse(http.StatusNotFound, "unknownGeneration", err.Error())
		r.Ran = messenger.Ran_RAN_UNKNOWN
		return r
	case errors.As(err, &unknown):
		return &RefusalError{Status: http.StatusGatewayTimeout, Code: "outcomeUnknown", Message: err.Error(), Ran: messenger.Ran_RAN_UNKNOWN}
	case errors.As(err, &conflict):
		return refuse(http.StatusUnprocessableEntity, "idempotencyConflict", err.Error())
	default:
		return &RefusalError{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error(), Ran: messenger.Ran_RAN_UNKNOWN}
	}
}

// limitRefusal returns the refusal of a request that exceeds its contract's limits.
func limitRefusal(limited *limiter.RefusedError) *RefusalError {
	status := http.StatusTooManyRequests
	switch {
	case limited.RetryAfter == 0:
		status = http.StatusRequestEntityTooLarge
	case limited.Limit == limiter.LimitUnreachable:
		status = http.StatusServiceUnavailable
	}
	r := refuse(status, string(limited.Limit), limited.Error())
	r.RetryAfter = limited.RetryAfter
	return r
}

// provesNotRun reports whether an error proves that nothing ran.
func provesNotRun(err error) bool {
	var generation *relayer.NotRunError
	var call *booker.NotRunError
	return errors.As(err, &generation) || errors.As(err, &call)
}

// body returns the response body.
func (r *RefusalError) body() []byte {
	kind := "server_error"
	if r.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	b, err := json.Marshal(errorBody{Error: errorDetail{Code: r.Code, Message: r.Message, Type: kind}, Ran: ranText(r.Ran)})
	if err != nil {
		return []byte(`{"error":{"code":"internal"},"ran":"unknown"}`)
	}
	return b
}

func ranText(ran messenger.Ran) string {
	switch ran {
	case messenger.Ran_RAN_NO:
		return "no"
	case messenger.Ran_RAN_YES:
		return "yes"
	default:
		return "unknown"
	}
}

func writeRefusal(w http.ResponseWriter, r *RefusalError) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(append(r.body(), '\n'))
}
