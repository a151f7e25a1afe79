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

// membershipHandler serves operators' requests to list, add and remove control hosts.
type membershipHandler struct {
	replicator *replicator.Replicator
}

const (
	// changeTimeout bounds the wait of one request. A host that has not caught up by
	// then stays a learner, and the same request, sent again, resumes the wait.
	changeTimeout = 10 * time.Second
	// maxHostBodyBytes bounds the body of a request to add a control host, in bytes.
	maxHostBodyBytes = 4 << 10
)

func (h *membershipHandler) addRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/controlHosts", h.list)
	mux.HandleFunc("POST /v1/controlHosts", h.add)
	mux.HandleFunc("DELETE /v1/controlHosts/{id}", h.remove)
}

func (h *membershipHandler) list(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.replicator.Status())
}

func (h *membershipHandler) add(w http.ResponseWriter, r *http.Request) {
	var data json.RawMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHostBodyBytes)).Decode(&data); err != nil {
		writeRefusal(w, http.StatusBadRequest, responder.CodeBadRequest, "the body is no JSON", "no")
		return
	}
	var host replicator.Peer
	if findings := decoder.Into(data, &host); len(findings) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, responder.RefusalError{
			Code: responder.CodeInvalid, Message: "the control host is invalid", Ran: "no", Findings: findings,
		})
		return
	}
	ip, _, err := net.SplitHostPort(host.Address)
	if err != nil || net.ParseIP(ip) == nil || host.Name == "" {
		writeRefusal(w, http.StatusUnprocessableEntity, responder.CodeInvalid, "a control host has a name, and an IP number with a port as its address", "no")
		return
	}
	h.change(w, r, func(ctx context.Context) error { return h.replicator.SubmitAdd(ctx, host) })
}

func (h *membershipHandler) remove(w http.ResponseWriter, r *http.Request) {
	h.change(w, r, func(ctx context.Context) error { return h.replicator.SubmitRemove(ctx, r.PathValue("id")) })
}

// change applies a membership change and answers with the membership after it. The
// change continues if the operator disconnects.
func (h *membershipHandler) change(w http.ResponseWriter, r *http.Request, apply func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), changeTimeout)
	defer cancel()
	err := apply(ctx)
	refused, full, notLeader := new(replicator.RefusedError), new(recorder.FullError), new(replicator.NotLeaderError)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, h.replicator.Status())
	case errors.As(err, &refused):
		writeRefusal(w, http.StatusConflict, responder.CodeRefused, refused.Reason, "no")
	case errors.As(err, &full) || errors.As(err, &notLeader):
		writeRefusal(w, http.StatusServiceUnavailable, responder.CodeUnavailable, err.Error(), "no")
	default:
		writeRefusal(w, http.StatusServiceUnavailable, responder.CodeUnavailable,
			"the change may have been made: see the list of control hosts ("+err.Error()+")", "unknown")
	}
}

func writeRefusal(w http.ResponseWriter, status int, code, message, ran string) {
	writeJSON(w, status, responder.RefusalError{Code: code, Message: message, Ran: ran})
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		// The operator has disconnected.
		return
	}
}
