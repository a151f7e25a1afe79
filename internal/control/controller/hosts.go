package controller

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/control/replicator"
	"verbenareach/internal/operator/decoder"
	"verbenareach/internal/operator/responder"
)

// hosts answers operators about the membership of control hosts.
type hosts struct {
	replicator *replicator.Replicator
}

const (
	// changeTimeout bounds what one request waits for; a host that has not caught
	// up by then goes on as a learner, and the same request again waits on.
	changeTimeout = 10 * time.Second
	maxHostBody   = 4 << 10
)

func (h *hosts) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/controlHosts", h.list)
	mux.HandleFunc("POST /v1/controlHosts", h.add)
	mux.HandleFunc("DELETE /v1/controlHosts/{id}", h.remove)
}

func (h *hosts) list(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, h.replicator.Status())
}

func (h *hosts) add(w http.ResponseWriter, r *http.Request) {
	var data json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHostBody)).Decode(&data); err != nil {
		refuse(w, http.StatusBadRequest, responder.CodeBadRequest, "the body is no JSON", "no")
		return
	}
	var host replicator.Peer
	if findings := decoder.Into(data, &host); len(findings) > 0 {
		answer(w, http.StatusUnprocessableEntity, responder.RefusalError{
			Code: responder.CodeInvalid, Message: "the control host is invalid", Ran: "no", Findings: findings,
		})
		return
	}
	ip, _, err := net.SplitHostPort(host.Address)
	if err != nil || net.ParseIP(ip) == nil || host.Name == "" {
		refuse(w, http.StatusUnprocessableEntity, responder.CodeInvalid, "a control host has a name, and an IP number with a port as its address", "no")
		return
	}
	h.change(w, r, func(ctx context.Context) error { return h.replicator.AddFrom(ctx, host) })
}

func (h *hosts) remove(w http.ResponseWriter, r *http.Request) {
	h.change(w, r, func(ctx context.Context) error { return h.replicator.RemoveFrom(ctx, r.PathValue("id")) })
}

// change makes a change of the membership and answers with what it is then.
func (h *hosts) change(w http.ResponseWriter, r *http.Request, f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	err := f(ctx)
	refused, full, elsewhere := new(replicator.RefusedError), new(recorder.FullError), new(replicator.NotLeaderError)
	switch {
	case err == nil:
		answer(w, http.StatusOK, h.replicator.Status())
	case errors.As(err, &refused):
		refuse(w, http.StatusConflict, responder.CodeRefused, refused.Reason, "no")
	case errors.As(err, &full) || errors.As(err, &elsewhere):
		refuse(w, http.StatusServiceUnavailable, responder.CodeUnavailable, err.Error(), "no")
	default:
		refuse(w, http.StatusServiceUnavailable, responder.CodeUnavailable,
			"the change may have been made: see the list of control hosts ("+err.Error()+")", "unknown")
	}
}

func refuse(w http.ResponseWriter, status int, code, message, ran string) {
	answer(w, status, responder.RefusalError{Code: code, Message: message, Ran: ran})
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		// The operator is gone; there is no one to tell.
		return
	}
}
