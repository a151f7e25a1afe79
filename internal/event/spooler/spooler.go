// Package spooler keeps log lines between those who write them and an output that may
// be slow or stand still: writers never wait, and what is dropped is counted and told.
package spooler

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Spooler passes lines on to Out. Its exported fields are set before Run.
type Spooler struct {
	// Out takes the lines, one Write each.
	Out io.Writer
	// Lines is how many lines wait at most.
	Lines int

	once    sync.Once
	queue   chan []byte
	dropped atomic.Uint64
}

// defaultLines is how many lines wait where Lines is not set: some seconds of a busy host.
const defaultLines = 4096

// Dropped returns how many lines were dropped so far.
func (s *Spooler) Dropped() uint64 { return s.dropped.Load() }

// Run passes lines on until stop is closed, and then what still waits, for no longer
// than the time given.
func (s *Spooler) Run(stop <-chan struct{}, linger time.Duration) {
	s.init()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.pass(stop)
	}()
	<-stop
	select {
	case <-drained:
	case <-time.After(linger):
	}
}

// Write takes a line. It never waits and never fails; a line that has no room is dropped.
func (s *Spooler) Write(line []byte) (int, error) {
	s.init()
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Spooler) init() {
	s.once.Do(func() {
		if s.Lines == 0 {
			s.Lines = defaultLines
		}
		s.queue = make(chan []byte, s.Lines)
	})
}

// pass writes lines until stop is closed and none waits any more.
func (s *Spooler) pass(stop <-chan struct{}) {
	told := uint64(0)
	for {
		select {
		case line := <-s.queue:
			s.write(line)
		case <-stop:
			select {
			case line := <-s.queue:
				s.write(line)
			default:
				return
			}
		}
		if dropped := s.dropped.Load(); dropped != told {
			told = dropped
			s.write(fmt.Appendf(nil, "level=warn msg=\"log lines dropped\" total=%d\n", dropped))
		}
	}
}

// write passes one line on. An output that fails can't be told of it.
func (s *Spooler) write(line []byte) { _, _ = s.Out.Write(line) }
