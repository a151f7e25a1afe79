// Package responder is the HTTP API for operators on control hosts.
package responder

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/operator/decoder"
)

type (
	// Responder serves the operators' HTTP API. Set its exported fields before use.
	Responder struct {
		// KeySHA256 is the SHA-256 hash of the operators' key, in lower-case hex.
		KeySHA256 string
		// Propose replicates a command and returns its result once it is applied on this
		// host.
		Propose func(ctx context.Context, c registrar.Command) (registrar.Result, error)
		// ConfirmRead makes reads linearizable: it returns once everything committed before
		// the call is applied on this host.
		ConfirmRead func(ctx context.Context) error
		// View returns the latest state applied on this host.
		View func() registrar.View
		// History returns a contract's changes, oldest first.
		History func(workspace string) []registrar.Record
		// Servers lists all backend servers. InForce returns which live entries and
		// agents haven't acknowledged the change at index.
		Servers func(ctx context.Context, now time.Time) ServerList
		InForce func(ctx context.Context, index uint64, now time.Time) InForce
		// ConfirmMark is called after each request to set a mark with the mark that is now in
		// force, if any, to have the agent confirm it.
		ConfirmMark func(m registrar.Mark)
		// Routes adds further routes that require the same key; nil adds none.
		Routes func(mux *http.ServeMux)
		// Log receives events; nil drops them.
		Log *logger.Logger
	}
)

const (
	// OperatorHeader is the request header with the operator's name.
	OperatorHeader = "X-Operator"
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 1 << 20
	// requestTimeout bounds the handling of one request.
	requestTimeout = 10 * time.Second
	// maxNameBytes bounds an operator's name; the rest is cut off.
	maxNameBytes = 128
)

// Handler returns the handler of all routes.
func (s *Responder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/contracts", s.listContracts)
	mux.HandleFunc("GET /v1/contracts/{workspace...}", s.getContract)
	mux.HandleFunc("PUT /v1/contracts/{workspace...}", s.putContract)
	mux.HandleFunc("GET /v1/history/{workspace...}", s.history)
	mux.HandleFunc("GET /v1/servers", s.listServers)
	mux.HandleFunc("POST /v1/servers/{name}/marks", s.mark)
	mux.HandleFunc("GET /v1/inForce", s.inForce)
	if s.Routes != nil {
		s.Routes(mux)
	}
	return s.requireKey(mux)
}

// requireKey refuses requests without the operators' key and sets the timeout of the
// others.
func (s *Responder) requireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := operatorKey(r)
		hash := registrar.HashKey(key)
		if key == "" || subtle.ConstantTimeCompare([]byte(hash), []byte(s.KeySHA256)) != 1 {
			s.Log.Emit(time.Now(), logger.OperatorRefused, "", logger.F("from", r.RemoteAddr))
			// Makes a browser prompt for the key, as the password of any user name.
			w.Header().Set("WWW-Authenticate", `Basic realm="operators"`)
			refuse(w, http.StatusUnauthorized, RefusalError{Code: CodeBadKey, Message: "the operator key is missing or wrong", Ran: "no"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// operatorKey returns the key of a request: the bearer token, or the password of
// basic authentication, which browsers send.
func operatorKey(r *http.Request) string {
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return key
	}
	_, key, _ := r.BasicAuth()
	return key
}

func (s *Responder) listContracts(w http.ResponseWriter, r *http.Request) {
	if !s.confirmOrRefuse(w, r) {
		return
	}
	list := ContractList{Contracts: []registrar.Contract{}}
	s.View().EachContract(func(c registrar.Contract) { list.Contracts = append(list.Contracts, c) })
	sortContracts(list.Contracts)
	writeJSON(w, http.StatusOK, list)
}

func (s *Responder) getContract(w http.ResponseWriter, r *http.Request) {
	if !s.confirmOrRefuse(w, r) {
		return
	}
	workspace := r.PathValue("workspace")
	c, ok := s.View().Contract(workspace)
	if !ok {
		refuse(w, http.StatusNotFound, RefusalError{Code: CodeNotFound, Message: "workspace " + workspace + " has no contract", Ran: "no"})
		return
	}
	writeJSON(w, http.StatusOK, c)
}

func (s *Responder) putContract(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	c, findings := decoder.Contract(data)
	if workspace := r.PathValue("workspace"); len(findings) == 0 && c.Workspace != workspace {
		findings = append(findings, registrar.Finding{Place: "/workspace", Message: "is " + c.Workspace + ", but the request is for " + workspace})
	}
	if len(findings) > 0 {
		refuse(w, http.StatusUnprocessableEntity, RefusalError{Code: CodeInvalid, Message: "the contract is invalid", Ran: "no", Findings: findings})
		return
	}
	p := registrar.PutContract{Replaces: c.Number, Contract: c, By: operatorName(r), At: time.Now().UnixNano()}
	result, err := s.Propose(r.Context(), registrar.Command{PutContract: &p})
	if err != nil || result.Contract == nil {
		refuseUnknownOutcome(w, err)
		return
	}
	reply := PutReply{ContractResult: *result.Contract, Index: result.Contract.Record.Index}
	s.logChange(logger.ContractChanged, c.Workspace, reply.Outcome, reply.Record.Number, p.By)
	writeJSON(w, statusCode(reply.Outcome), reply)
}

func (s *Responder) history(w http.ResponseWriter, r *http.Request) {
	if !s.confirmOrRefuse(w, r) {
		return
	}
	workspace := r.PathValue("workspace")
	records := s.History(workspace)
	if len(records) == 0 {
		refuse(w, http.StatusNotFound, RefusalError{Code: CodeNotFound, Message: "workspace " + workspace + " has no contract", Ran: "no"})
		return
	}
	writeJSON(w, http.StatusOK, History{Workspace: workspace, Records: records})
}

func (s *Responder) listServers(w http.ResponseWriter, r *http.Request) {
	if !s.confirmOrRefuse(w, r) {
		return
	}
	writeJSON(w, http.StatusOK, s.Servers(r.Context(), time.Now()))
}

func (s *Responder) mark(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	var m MarkRequest
	if findings := decoder.Into(data, &m); len(findings) > 0 {
		refuse(w, http.StatusUnprocessableEntity, RefusalError{Code: CodeInvalid, Message: "the mark is invalid", Ran: "no", Findings: findings})
		return
	}
	p := registrar.SetMark{
		Server: r.PathValue("name"), Replaces: m.Replaces, Leaving: m.Leaving, By: operatorName(r), At: time.Now().UnixNano(),
	}
	result, err := s.Propose(r.Context(), registrar.Command{SetMark: &p})
	if err != nil || result.Mark == nil {
		refuseUnknownOutcome(w, err)
		return
	}
	reply := MarkReply{MarkResult: *result.Mark, Index: s.View().Index}
	s.logChange(logger.MarkChanged, p.Server, reply.Outcome, reply.Mark.Number, p.By)
	if reply.Current.Number != 0 {
		s.ConfirmMark(reply.Current)
	}
	writeJSON(w, statusCode(reply.Outcome), reply)
}

func (s *Responder) inForce(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, RefusalError{Code: CodeBadRequest, Message: "index must be a whole number", Ran: "no"})
		return
	}
	if !s.confirmOrRefuse(w, r) {
		return
	}
	writeJSON(w, http.StatusOK, s.InForce(r.Context(), index, time.Now()))
}

// confirmOrRefuse has a quorum confirm that this host's state is current. If it fails, it
// refuses the request and returns false.
func (s *Responder) confirmOrRefuse(w http.ResponseWriter, r *http.Request) bool {
	err := s.ConfirmRead(r.Context())
	if err == nil {
		return true
	}
	message := "this control host has no quorum: ask another one (" + err.Error() + ")"
	refuse(w, http.StatusServiceUnavailable, RefusalError{Code: CodeUnavailable, Message: message, Ran: "no"})
	return false
}

func (s *Responder) logChange(ev logger.Event, subject string, outcome registrar.Outcome, number uint64, by string) {
	s.Log.Emit(time.Now(), ev, "", logger.F("subject", subject), logger.F("outcome", outcome),
		logger.F("number", number), logger.F("by", by))
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		// The operator has disconnected, so the error can't be reported.
		return
	}
}

// readBody reads a request's body, at most maxBodyBytes. If it fails, it refuses the
// request and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		return data, true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		refuse(w, http.StatusRequestEntityTooLarge, RefusalError{Code: CodeTooLarge, Message: "the body is over 1 MiB", Ran: "no"})
		return nil, false
	}
	refuse(w, http.StatusBadRequest, RefusalError{Code: CodeBadRequest, Message: "the body can't be read", Ran: "no"})
	return nil, false
}

// operatorName returns the operator's name to record with a change: that of
// OperatorHeader, or "unnamed".
func operatorName(r *http.Request) string {
	name := r.Header.Get(OperatorHeader)
	if name == "" {
		return "unnamed"
	}
	return name[:min(len(name), maxNameBytes)]
}

func refuse(w http.ResponseWriter, code int, e RefusalError) {
	writeJSON(w, code, e)
}

// refuseUnknownOutcome responds to a change that may have been made.
func refuseUnknownOutcome(w http.ResponseWriter, err error) {
	message := "no answer from a quorum: the change may have been made; send it again as it is to learn its outcome"
	if err != nil {
		message += " (" + err.Error() + ")"
	}
	refuse(w, http.StatusServiceUnavailable, RefusalError{Code: CodeUnavailable, Message: message, Ran: "unknown"})
}

// statusCode returns the HTTP status of a change's outcome.
func statusCode(o registrar.Outcome) int {
	switch o {
	case registrar.OutcomeConflict:
		return http.StatusConflict
	case registrar.OutcomeInvalid:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusOK
	}
}
