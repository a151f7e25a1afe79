package logger

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
)

func TestEmit(t *testing.T) {
	var out bytes.Buffer
	var kept []Record
	l := &Logger{Out: log.New(&out), Keep: func(r Record) { kept = append(kept, r) }}
	now := time.Unix(1000, 0)
	l.Emit(now, AttemptFailed, "g-1", F("cause", eris.Wrap(eris.New("cut"), "read")), F("none", nil))
	l.Emit(now, WorkAdmitted, "g-1")
	l.Emit(now, AgentStarted, "")
	text := out.String()
	if !strings.Contains(text, "VR3204") || !strings.Contains(text, "read: cut") || strings.Contains(text, ".go:") {
		t.Errorf("wrote %s", text)
	}
	if strings.Contains(text, "VR3201") {
		t.Errorf("wrote a debug event at level info: %s", text)
	}
	if len(kept) != 2 || kept[1].Event != WorkAdmitted {
		t.Errorf("kept %v", kept)
	}
	var none *Logger
	none.Emit(now, AgentStarted, "")
}
