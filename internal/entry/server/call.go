package server

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/booker"
	"verbenareach/internal/entry/limiter"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/report/reporter"
	"verbenareach/internal/wire/messenger"
)

const (
	keyHeader   = "Idempotency-Key"
	maxKeyBytes = 256
)

var (
	// forwardedHeaders are the caller's headers that a plain service gets.
	forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", keyHeader}
)

type (
	modelList struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}

	modelItem struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
)

// serveCall forwards a call to a plain service.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := e.newID(now, "c")
	contract, req, refusal := e.readCall(w, r)
	if refusal != nil {
		e.refuseRequest(w, id, contract.Workspace, refusal)
		return
	}
	req.ID, req.Deadline = id, now.Add(e.RequestTimeout)
	if req.Key == "" {
		req.Key = "entry:" + id
	}
	permit, err := e.acquire(r.Context(), now, contract, limiter.Demand{})
	if err != nil {
		e.countRefusal(time.Now(), reporter.ServiceKey(contract.Workspace, req.Service), refusalOf(err))
		e.refuseRequest(w, id, contract.Workspace, refusalOf(err))
		return
	}
	defer permit.release()
	reply, err := e.Booker.Call(r.Context(), req)
	e.countCall(now, time.Now(), contract, req.Service, err)
	if err != nil {
		e.refuseRequest(w, id, contract.Workspace, refusalOf(err))
		return
	}
	for _, h := range reply.GetHeaders() {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.Header().Set("X-Request-Id", id)
	w.WriteHeader(int(reply.GetStatus()))
	if _, err := w.Write(reply.GetBody()); err != nil {
		e.Log.Emit(time.Now(), logger.CallUnknown, id, logger.F("callerGone", err))
	}
}

// readCall reads a call and checks it against the contract.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request) (registrar.Contract, booker.Request, *RefusalError) {
	var req booker.Request
	contract, refusal := e.authenticate(r)
	if refusal != nil {
		return contract, req, refusal
	}
	req.Workspace, req.Service, req.Method = contract.Workspace, r.PathValue("service"), r.Method
	req.Path = "/" + r.PathValue("path")
	repeatable, allowed := contract.Repeatable(req.Service, r.Method, req.Path)
	if !allowed {
		return contract, req, refuse(http.StatusNotFound, "unknownService", "your contract has no such service")
	}
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	req.Repeatable = repeatable
	req.Key = r.Header.Get(keyHeader)
	req.KeyFromCaller = req.Key != ""
	if len(req.Key) > maxKeyBytes {
		return contract, req, refuse(http.StatusBadRequest, "keyTooLong", keyHeader+" is too long")
	}
	for _, name := range forwardedHeaders {
		if value := r.Header.Get(name); value != "" {
			req.Headers = append(req.Headers, &messenger.Header{Name: name, Value: value})
		}
	}
	if name := unreadable(req); name != "" {
		return contract, req, refuse(http.StatusBadRequest, "unreadableText", name+" is not UTF-8")
	}
	req.Body, refusal = e.readBody(w, r)
	return contract, req, refusal
}

// unreadable names what of a call is not UTF-8: messages between processes can't hold it. It is empty if all is.
func unreadable(req booker.Request) string {
	if !utf8.ValidString(req.Path) {
		return "the path"
	}
	for _, h := range req.Headers {
		if !utf8.ValidString(h.GetValue()) {
			return h.GetName()
		}
	}
	return ""
}

// serveModels lists the models that the caller may use.
func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	contract, refusal := e.authenticate(r)
	if refusal != nil {
		e.refuseRequest(w, e.newID(time.Now(), "m"), contract.Workspace, refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range contract.Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model"})
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
