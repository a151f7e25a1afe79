// Package presenter serves event records and the burn report to operators over HTTP.
package presenter

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"verbenareach/internal/insight/gatherer"
	"verbenareach/internal/report/assessor"
	"verbenareach/internal/report/plotter"
)

// Presenter adds its routes to the operators' HTTP service. Its fields are set before use.
type Presenter struct {
	Gatherer *gatherer.Gatherer
}

// Routes adds the routes to mux.
func (p *Presenter) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/explain/{id...}", p.explain)
	mux.HandleFunc("GET /v1/report", p.report)
	mux.HandleFunc("GET /report", p.page)
}

func (p *Presenter) burnReport(r *http.Request) assessor.Report {
	query := r.URL.Query()
	return p.Gatherer.Burn(r.Context(), time.Now(), query.Get("workspace"), query.Get("model"))
}

func (p *Presenter) explain(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, p.Gatherer.Explain(r.Context(), r.PathValue("id")))
}

func (p *Presenter) page(w http.ResponseWriter, r *http.Request) {
	var b bytes.Buffer
	if err := plotter.Write(&b, p.burnReport(r)); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("Cache-Control", "no-store")
	// A client that has disconnected needs no page.
	_, _ = w.Write(b.Bytes())
}

func (p *Presenter) report(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, p.burnReport(r))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that has disconnected needs no response.
	_ = json.NewEncoder(w).Encode(value)
}
