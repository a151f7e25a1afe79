package spooler

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingOutput records lines. If unblock is set, Write blocks until it is closed.
type blockingOutput struct {
	mu      sync.Mutex
	lines   []string
	unblock chan struct{}
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lines = append(o.lines, string(p))
	return len(p), nil
}

func TestLinesArriveInOrder(t *testing.T) {
	out := &blockingOutput{}
	s := &Spooler{Out: out}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		s.Run(stop, time.Second)
		close(done)
	}()
	for i := range 100 {
		_, _ = fmt.Fprintf(s, "%d\n", i)
	}
	close(stop)
	<-done
	if len(out.lines) != 100 || out.lines[0] != "0\n" || out.lines[99] != "99\n" {
		t.Errorf("%d lines: %q ...", len(out.lines), out.lines[0])
	}
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockingOutput{unblock: make(chan struct{})}
	s := &Spooler{Out: out, Capacity: 10}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		s.Run(stop, 2*time.Second)
		close(done)
	}()
	written := make(chan struct{})
	go func() {
		for range 1000 {
			_, _ = s.Write([]byte("line\n"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocks on the output")
	}
	if s.Dropped() < 900 {
		t.Errorf("%d lines dropped of 1000 with a capacity of 10", s.Dropped())
	}
	close(out.unblock)
	close(stop)
	<-done
	if last := strings.Join(out.lines, ""); !strings.Contains(last, "log lines dropped") {
		t.Error("dropped lines are not reported")
	}
}
