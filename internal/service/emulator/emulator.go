// Package emulator simulates a service, a backend without a model engine: it records
// bookings and counts how often each one ran.
package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/event/logger"
)

const (
	announceEvery = time.Second
	maxBodyBytes  = 1 << 20
)

type (
	// Service is the simulated service. Set its exported fields before Run.
	Service struct {
		// Name is the service's name in contracts.
		Name string
		// Listener must be open; Run closes it.
		Listener net.Listener
		// AnnounceTo is the IP number and port of the agent's announcement listener.
		AnnounceTo string
		// Delay is how long each booking takes.
		Delay time.Duration
		// Log receives events; nil drops them.
		Log *logger.Logger
		// BeforeReply, if set, is called after a booking ran and before its reply is
		// written; if it returns an error, the connection is closed without a reply.
		BeforeReply func(reference string) error

		mu sync.Mutex
		// runs counts the runs of each booking by its reference.
		runs map[string]int
	}

	// Booking is the body of a request: any object with a reference.
	Booking struct {
		Reference string `json:"reference"`
	}

	// RunCount is the response with the number of times that a booking ran.
	RunCount struct {
		Reference string `json:"reference"`
		Runs      int    `json:"runs"`
	}

	announcement struct {
		Kind    string `json:"kind"`
		Address string `json:"address"`
		Service string `json:"service"`
	}
)

// Run serves until ctx ends, and then waits for the requests in progress. Until ctx ends it
// announces the service to its agent every announceEvery.
func (s *Service) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second}
	s.Log.Emit(time.Now(), logger.StandInStarted, "", logger.F("service", s.Name), logger.F("address", s.Listener.Addr().String()))
	go s.announceLoop(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		_ = server.Shutdown(context.WithoutCancel(ctx))
	}()
	err := server.Serve(s.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		s.Log.Emit(time.Now(), logger.StandInStopped, "", logger.F("service", s.Name))
		return nil
	}
	return eris.Wrap(err, "serve")
}

// Runs returns how often the booking with a reference ran.
func (s *Service) Runs(reference string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[reference]
}

func (s *Service) announceLoop(ctx context.Context) {
	body, err := json.Marshal(announcement{Kind: "service", Address: s.Listener.Addr().String(), Service: s.Name})
	if err != nil {
		return
	}
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		postAnnouncement(ctx, "http://"+s.AnnounceTo+"/v1/announce", body)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) createBooking(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var b Booking
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	if err != nil || b.Reference == "" {
		http.Error(w, `{"error":"a booking needs a reference"}`, http.StatusBadRequest)
		return
	}
	time.Sleep(s.Delay)
	s.mu.Lock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[b.Reference]++
	n := s.runs[b.Reference]
	s.mu.Unlock()
	if s.BeforeReply != nil {
		if err := s.BeforeReply(b.Reference); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, RunCount{Reference: b.Reference, Runs: n})
}

func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.createBooking)
	mux.HandleFunc("POST /swaps", s.createBooking)
	mux.HandleFunc("GET /bookings/{reference}", s.getBooking)
	mux.HandleFunc("GET /swaps/{reference}", s.getBooking)
	return mux
}

func (s *Service) getBooking(w http.ResponseWriter, r *http.Request) {
	reference := r.PathValue("reference")
	n := s.Runs(reference)
	if n == 0 {
		http.Error(w, fmt.Sprintf(`{"error":"no booking %q"}`, reference), http.StatusNotFound)
		return
	}
	writeJSON(w, RunCount{Reference: reference, Runs: n})
}

// postAnnouncement sends one announcement. Errors are ignored: the next one follows after
// announceEvery.
func postAnnouncement(ctx context.Context, url string, body []byte) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(r)
	if err == nil {
		_ = resp.Body.Close()
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
