package logger

import (
	"time"

	"github.com/charmbracelet/log"
)

type (
	// Record is one occurrence of an event.
	Record struct {
		At    time.Time
		Event Event
		// Subject is the id of the generation, call or request that the record
		// belongs to; empty where it belongs to none.
		Subject string
		Fields  []Field
	}

	// Logger writes records to a log and passes them to Keep and Count.
	// A nil Logger drops all records. Its fields are set before first use.
	Logger struct {
		// Out receives one line for each record; may be nil.
		Out *log.Logger
		// Keep receives each record that has a subject; may be nil.
		Keep func(Record)
		// Count receives the event of each record; may be nil.
		Count func(Event)
	}
)

// Emit writes one record of ev at now about subject, which may be empty.
func (l *Logger) Emit(now time.Time, ev Event, subject string, fields ...Field) {
	if l == nil {
		return
	}
	if l.Count != nil {
		l.Count(ev)
	}
	if l.Keep != nil && subject != "" {
		l.Keep(Record{At: now, Event: ev, Subject: subject, Fields: fields})
	}
	if l.Out == nil || ev.Level < l.Out.GetLevel() {
		return
	}
	keyvals := make([]any, 0, 2*len(fields)+4)
	keyvals = append(keyvals, "event", ev.Code())
	if subject != "" {
		keyvals = append(keyvals, "id", subject)
	}
	for _, f := range fields {
		keyvals = append(keyvals, f.Key, stripStackTrace(f.Value))
	}
	l.Out.Log(ev.Level, ev.Message, keyvals...)
}

// stripStackTrace returns an error as its text: its stack trace would fill the line
// and reveal the paths of the host that built the program.
func stripStackTrace(value any) any {
	if err, ok := value.(error); ok && err != nil {
		return err.Error()
	}
	return value
}
