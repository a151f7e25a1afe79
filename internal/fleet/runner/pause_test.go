package runner

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"verbenareach/internal/event/logger"
)

func TestPauseIsTold(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name string
		now  time.Time
		told string
	}{
		{"a tick", start.Add(tick), ""},
		{"a late tick", start.Add(10 * tick), ""},
		{"a host that stood still", start.Add(4 * time.Second), "steady=4s wall=4s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			h := &Runner{Log: &logger.Logger{Out: log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})}}
			h.notePause(start, tt.now)
			if got := out.String(); tt.told == "" && got != "" || !strings.Contains(got, tt.told) {
				t.Errorf("told %q, want %q", got, tt.told)
			}
		})
	}
}

func TestJumpOfTheTimeOfDayIsNoPassingOfTime(t *testing.T) {
	last := time.Now()
	if steady, wall := passed(last, last.Add(time.Second)); steady != time.Second || wall != time.Second {
		t.Errorf("%v and %v passed, want a second", steady, wall)
	}
	// Without a reading of the steady clock both are the time of day's.
	jumped := last.Round(0).Add(5 * time.Second)
	if _, wall := passed(last, jumped); wall != 5*time.Second {
		t.Errorf("the time of day went on by %v, want 5 s", wall)
	}
}
