// Package responder is the HTTP service for operators on control hosts.
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
	// Responder answers operators. Its exported fields are set before use.
	Responder struct {
		// KeySHA256 is the hash of the operators' key, in lower-case hex.
		KeySHA256 string
		// Propose has a command agreed on and applied.
		Propose func(ctx context.Context, c registrar.Command) (registrar.Result, error)
		// Confirm returns once all that was committed before the call is known here.
		Confirm func(ctx context.Context) error
		// View returns the newest state here.
		View func() registrar.View
		// History returns a contract's changes, oldest first.
		History func(workspace string) []registrar.Record
		// Servers tells of all backend servers, InForce of who has a change.
		Servers func(ctx context.Context, now time.Time) ServerList
		InForce func(ctx context.Context, index uint64, now time.Time) InForce
		// Marked is told of each mark that is in force, to have it confirmed.
		Marked func(m registrar.Mark)
		// Routes adds further routes behind the same key; nil adds none.
		Routes func(mux *http.ServeMux)
		// Log receives the events; nil for none.
		Log *logger.Logger
	}
)

const (
	// OperatorHeader names the operator in a request.
	OperatorHeader = "X-Operator"
	// maxBody bounds a request's body in bytes.
	maxBody = 1 << 20
	// answerTimeout bounds what the answer to a request may wait for.
	answerTimeout = 10 * time.Second
	maxNameBytes  = 128
)

// Handler returns the service's routes.
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
	return s.guard(mux)
}

// guard lets only requests with the operators' key through.
func (s *Responder) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := operatorKey(r)
		hash := registrar.HashKey(key)
		if key == "" || subtle.ConstantTimeCompare([]byte(hash), []byte(s.KeySHA256)) != 1 {
			s.Log.Emit(time.Now(), logger.OperatorRefused, "", logger.F("from", r.RemoteAddr))
			// A browser then asks for the key, as the password of any user.
			w.Header().Set("WWW-Authenticate", `Basic realm="operators"`)
			refuse(w, http.StatusUnauthorized, RefusalError{Code: CodeBadKey, Message: "the operator key is missing or wrong", Ran: "no"})
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// operatorKey returns the key of a request: a bearer's token, or the password
// that a browser sends.
func operatorKey(r *http.Request) string {
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return key
	}
	_, key, _ := r.BasicAuth()
	return key
}

func (s *Responder) listContracts(w http.ResponseWriter, r *http.Request) {
	if !s.confirmed(w, r) {
		return
	}
	list := ContractList{Contracts: []registrar.Contract{}}
	s.View().EachContract(func(c registrar.Contract) { list.Contracts = append(list.Contracts, c) })
	sortContracts(list.Contracts)
	answer(w, http.StatusOK, list)
}

func (s *Responder) getContract(w http.ResponseWriter, r *http.Request) {
	if !s.confirmed(w, r) {
		return
	}
	workspace := r.PathValue("workspace")
	c, ok := s.View().Contract(workspace)
	if !ok {
		refuse(w, http.StatusNotFound, RefusalError{Code: CodeNotFound, Message: "workspace " + workspace + " has no contract", Ran: "no"})
		return
	}
	answer(w, http.StatusOK, c)
}

func (s *Responder) putContract(w http.ResponseWriter, r *http.Request) {
	data, ok := body(w, r)
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
	p := registrar.PutContract{Replaces: c.Number, Contract: c, By: operator(r), At: time.Now().UnixNano()}
	result, err := s.Propose(r.Context(), registrar.Command{PutContract: &p})
	if err != nil || result.Contract == nil {
		refuseUnknown(w, err)
		return
	}
	reply := PutReply{ContractResult: *result.Contract, Index: result.Contract.Record.Index}
	s.logChange(logger.ContractChanged, c.Workspace, reply.Outcome, reply.Record.Number, p.By)
	answer(w, status(reply.Outcome), reply)
}

func (s *Responder) history(w http.ResponseWriter, r *http.Request) {
	if !s.confirmed(w, r) {
		return
	}
	workspace := r.PathValue("workspace")
	records := s.History(workspace)
	if len(records) == 0 {
		refuse(w, http.StatusNotFound, RefusalError{Code: CodeNotFound, Message: "workspace " + workspace + " has no contract", Ran: "no"})
		return
	}
	answer(w, http.StatusOK, History{Workspace: workspace, Records: records})
}

func (s *Responder) listServers(w http.ResponseWriter, r *http.Request) {
	if !s.confirmed(w, r) {
		return
	}
	answer(w, http.StatusOK, s.Servers(r.Context(), time.Now()))
}

func (s *Responder) mark(w http.ResponseWriter, r *http.Request) {
	data, ok := body(w, r)
	if !ok {
		return
	}
	var m MarkRequest
	if findings := decoder.Into(data, &m); len(findings) > 0 {
		refuse(w, http.StatusUnprocessableEntity, RefusalError{Code: CodeInvalid, Message: "the mark is invalid", Ran: "no", Findings: findings})
		return
	}
	p := registrar.SetMark{
		Server: r.PathValue("name"), Replaces: m.Replaces, Leaving: m.Leaving, By: operator(r), At: time.Now().UnixNano(),
	}
	result, err := s.Propose(r.Context(), registrar.Command{SetMark: &p})
	if err != nil || result.Mark == nil {
		refuseUnknown(w, err)
		return
	}
	reply := MarkReply{MarkResult: *result.Mark, Index: s.View().Index}
	s.logChange(logger.MarkChanged, p.Server, reply.Outcome, reply.Mark.Number, p.By)
	if reply.Current.Number != 0 {
		s.Marked(reply.Current)
	}
	answer(w, status(reply.Outcome), reply)
}

func (s *Responder) inForce(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, RefusalError{Code: CodeBadRequest, Message: "index must be a whole number", Ran: "no"})
		return
	}
	if !s.confirmed(w, r) {
		return
	}
	answer(w, http.StatusOK, s.InForce(r.Context(), index, time.Now()))
}

// confirmed has a quorum confirm that nothing newer is missing here.
func (s *Responder) confirmed(w http.ResponseWriter, r *http.Request) bool {
	err := s.Confirm(r.Context())
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

// answer writes a JSON body.
func answer(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		// The operator is gone; there is no one to tell.
		return
	}
}

// body reads a request's body within bounds.
func body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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

// operator returns the name under which a change is recorded.
func operator(r *http.Request) string {
	name := r.Header.Get(OperatorHeader)
	if name == "" {
		return "unnamed"
	}
	return name[:min(len(name), maxNameBytes)]
}

func refuse(w http.ResponseWriter, code int, e RefusalError) {
	answer(w, code, e)
}

// refuseUnknown answers a change whose fate isn't known.
func refuseUnknown(w http.ResponseWriter, err error) {
	message := "no answer from a quorum: the change may have been made; send it again as it is to learn its outcome"
	if err != nil {
		message += " (" + err.Error() + ")"
	}
	refuse(w, http.StatusServiceUnavailable, RefusalError{Code: CodeUnavailable, Message: message, Ran: "unknown"})
}

func status(o registrar.Outcome) int {
	switch o {
	case registrar.OutcomeConflict:
		return http.StatusConflict
	case registrar.OutcomeInvalid:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusOK
	}
}
