// Package logger defines the numbered events that processes report and writes them to the log.
package logger

import (
	"fmt"

	"github.com/charmbracelet/log"
)

type (
	// Event is a numbered kind of occurrence that a process may report. The meaning
	// of a number never changes; docs/events.md holds the catalogue.
	Event struct {
		// Number is unique in the catalogue. Control has 1000 to 1999, entries 2000 to 2999,
		// agents 3000 to 3999, stand-ins 4000 to 4999, commands 5000 to 5999,
		// hosts of a fleet 6000 to 6999.
		Number int
		// Level is the severity under which the event is written.
		Level log.Level
		// Message is a short constant text; variable parts go into the fields of a record.
		Message string
	}

	// Field is one named value of a record.
	Field struct {
		Key   string
		Value any
	}
)

// Catalogue returns all events that any process may report.
func Catalogue() []Event {
	var all []Event
	all = append(all, controlEvents...)
	all = append(all, replicationEvents...)
	all = append(all, entryEvents...)
	all = append(all, agentEvents...)
	all = append(all, standInEvents...)
	all = append(all, commandEvents...)
	all = append(all, fleetEvents...)
	return all
}

// F returns a field.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Code returns the event's published form, such as VR1203.
func (e Event) Code() string {
	return fmt.Sprintf("VR%04d", e.Number)
}
