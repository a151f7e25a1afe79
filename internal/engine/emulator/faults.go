package emulator

import (
	"encoding/json"
	"net/http"
	"time"

	"verbenareach/internal/config/parser"
)

type (
	// faults holds the faults that tests inject.
	faults struct {
		killed  bool
		stalled bool
		// repeat and skip count the tokens still to be sent twice, or left out.
		repeat int
		skip   int
		// reclaimAt is when the engine is to be reclaimed, in Unix nanoseconds; 0 if it
		// isn't.
		reclaimAt int64
	}

	// FaultOrder is the body of POST /v1/faults.
	FaultOrder struct {
		// Kind is kill, stall, resume, repeat, skip or reclaim.
		Kind string `json:"kind"`
		// Count is the number of tokens to repeat or skip; 0 means 1.
		Count int `json:"count,omitempty"`
		// Notice is the time from the order until a reclaimed engine is killed.
		Notice parser.Duration `json:"notice,omitempty"`
	}
)

// consume decrements the counter n. It returns false if the counter is already 0.
func (f *faults) consume(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// Reclaim kills the engine after notice. Until then announcements contain its time.
func (s *Server) Reclaim(now time.Time, notice time.Duration) {
	s.mu.Lock()
	s.faults.reclaimAt = now.Add(notice).UnixNano()
	s.mu.Unlock()
	time.AfterFunc(notice, s.Kill)
}

// RepeatTokens makes the engine send the next n tokens twice.
func (s *Server) RepeatTokens(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.repeat = n
}

// SkipTokens makes the engine leave out the next n tokens.
func (s *Server) SkipTokens(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.skip = n
}

// Stall freezes or resumes the engine. A stalled engine keeps its connections open and
// generates no tokens.
func (s *Server) Stall(stalled bool) {
	s.mu.Lock()
	s.faults.stalled = stalled
	s.mu.Unlock()
	s.wakeUp()
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var order FaultOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	count := max(order.Count, 1)
	switch order.Kind {
	case "kill":
		s.Kill()
	case "stall", "resume":
		s.Stall(order.Kind == "stall")
	case "repeat":
		s.RepeatTokens(count)
	case "skip":
		s.SkipTokens(count)
	case "reclaim":
		s.Reclaim(time.Now(), time.Duration(order.Notice))
	default:
		writeError(w, http.StatusBadRequest, "invalid_request_error", "unknown fault "+order.Kind)
	}
}

// Preemptions returns the number of preemptions since the engine's start.
func (s *Server) Preemptions() int {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.reports.preemptions
}
