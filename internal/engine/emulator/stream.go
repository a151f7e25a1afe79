package emulator

import (
	"sync"
)

// stream carries a request's tokens from the steps to its connection.
type stream struct {
	// more holds one element while there is something to take.
	more chan struct{}

	mu      sync.Mutex
	pending []int
	last    bool
}

func newStream() *stream {
	return &stream{more: make(chan struct{}, 1)}
}

// put adds indexes of tokens; last tells that no others follow.
func (st *stream) put(last bool, indexes ...int) {
	st.mu.Lock()
	st.pending = append(st.pending, indexes...)
	st.last = st.last || last
	st.mu.Unlock()
	select {
	case st.more <- struct{}{}:
	default:
	}
}

// take returns what was put since the last call; buf is used for what comes next.
func (st *stream) take(buf []int) (indexes []int, last bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	indexes = st.pending
	st.pending = buf[:0]
	return indexes, st.last
}

// deliver hands tokens to their streams, with the faults asked for.
func (s *Server) deliver(tokens []Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range tokens {
		st := s.streams[t.ID]
		if st == nil {
			continue
		}
		switch {
		case s.faults.take(&s.faults.repeat):
			st.put(t.Last, t.Index, t.Index)
		case s.faults.take(&s.faults.skip):
			st.put(t.Last)
		default:
			st.put(t.Last, t.Index)
		}
		if t.Last {
			delete(s.streams, t.ID)
		}
	}
}
