package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// eventsPollEvery is the interval at which a stream of cache events polls for new ones.
const eventsPollEvery = 50 * time.Millisecond

type (
	// Order is the body of POST /v1/orders.
	Order struct {
		Fence uint64 `json:"fence"`
		// Kind is loadModel, unloadModel or changeRole.
		Kind    string `json:"kind"`
		Model   string `json:"model,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
		Role    string `json:"role,omitempty"`
	}

	orderResponse struct {
		CurrentFence uint64 `json:"currentFence"`
	}

	loadResponse struct {
		Running           int     `json:"running"`
		Waiting           int     `json:"waiting"`
		MemoryTokensTotal int     `json:"memoryTokensTotal"`
		MemoryTokensUsed  int     `json:"memoryTokensUsed"`
		Preemptions       int     `json:"preemptions"`
		StallSeconds      float64 `json:"stallSeconds"`
		ReportedAt        int64   `json:"reportedAt"`
	}

	cacheEventMessage struct {
		Seq     uint64   `json:"seq"`
		Stored  []uint64 `json:"stored"`
		Evicted []uint64 `json:"evicted"`
	}
)

// Serves reports whether the engine has a model loaded. An empty adapter means the
// model without an adapter, an empty version any version.
func (s *Server) Serves(m Model) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.models, func(loaded Model) bool {
		return loaded.Model == m.Model && loaded.Adapter == m.Adapter &&
			(m.Version == "" || loaded.Version == m.Version)
	})
}

// apply executes an order. It returns the fencing number in force, and false if the
// order was refused because its own is older.
func (s *Server) apply(o Order) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ChecksFences && o.Fence < s.fence {
		return s.fence, false
	}
	s.fence = o.Fence
	m := Model{Model: o.Model, Adapter: o.Adapter, Version: o.Version}
	switch o.Kind {
	case "loadModel":
		// The slice is copied, not changed in place: an announcement may be reading it.
		s.models = append(slices.Clone(s.models), m)
	case "unloadModel":
		s.models = slices.DeleteFunc(slices.Clone(s.models), func(loaded Model) bool { return loaded == m })
	case "changeRole":
		s.role = o.Role
	}
	return s.fence, true
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	ticker := time.NewTicker(eventsPollEvery)
	defer ticker.Stop()
	var after uint64
	if err := flusher.Flush(); err != nil {
		return
	}
	for {
		s.mu.Lock()
		events := s.engine.Events(time.Now(), after)
		s.mu.Unlock()
		for _, ev := range events {
			after = ev.Seq
			data, err := json.Marshal(cacheEventMessage{Seq: ev.Seq, Stored: ev.Stored, Evicted: ev.Evicted})
			if err != nil {
				return
			}
			if _, err := w.Write([]byte("id: " + strconv.FormatUint(ev.Seq, 10) + "\ndata: " + string(data) + "\n\n")); err != nil {
				return
			}
		}
		if len(events) > 0 && flusher.Flush() != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-s.kill:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := s.engine.Load(time.Now())
	s.mu.Unlock()
	var reportedAt int64
	if !l.ReportedAt.IsZero() {
		reportedAt = l.ReportedAt.UnixNano()
	}
	writeJSON(w, http.StatusOK, loadResponse{
		Running:           l.Running,
		Waiting:           l.Waiting,
		MemoryTokensTotal: l.MemoryTotal,
		MemoryTokensUsed:  l.MemoryUsed,
		Preemptions:       l.Preemptions,
		StallSeconds:      l.Stalled.Seconds(),
		ReportedAt:        reportedAt,
	})
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	switch o.Kind {
	case "loadModel", "unloadModel", "changeRole":
	default:
		writeError(w, http.StatusBadRequest, "invalid_request_error", "unknown order "+o.Kind)
		return
	}
	if o.Kind == "loadModel" && s.LoadTime > 0 {
		select {
		case <-time.After(s.LoadTime):
		case <-r.Context().Done():
			return
		}
	}
	fence, ok := s.apply(o)
	if !ok {
		writeJSON(w, http.StatusConflict, orderResponse{CurrentFence: fence})
		return
	}
	writeJSON(w, http.StatusOK, orderResponse{CurrentFence: fence})
}
