package runner

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"verbenareach/internal/event/logger"
)

func TestPauseIsLogged(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name string
		now  time.Time
		want string
	}{
		{"a tick", start.Add(tick), ""},
		{"a late tick", start.Add(10 * tick), ""},
		{"a paused host", start.Add(4 * time.Second), "steady=4s wall=4s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			h := &Runner{Log: &logger.Logger{Out: log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})}}
			h.logPause(start, tt.now)
			if got := out.String(); tt.want == "" && got != "" || !strings.Contains(got, tt.want) {
				t.Errorf("logged %q, want %q", got, tt.want)
			}
		})
	}
}
