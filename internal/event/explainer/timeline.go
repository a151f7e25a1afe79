package explainer

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// Timeline holds the events of one generation, call or request, merged from the records of all processes.
	Timeline struct {
		ID string `json:"id"`
		// Outcome is the latest recorded outcome in one sentence; empty if none is recorded.
		Outcome string `json:"outcome,omitempty"`
		// Steps are sorted by time; steps of one process with equal times keep their order.
		Steps []Step `json:"steps"`
		// Dropped counts the records that processes dropped to stay within their memory limits.
		Dropped uint32 `json:"dropped,omitempty"`
		// Asked is how many processes were queried; Missing names those that did not reply.
		Asked   int      `json:"asked"`
		Missing []string `json:"missing,omitempty"`
		// KeptSince is the time from which on every process that replied still has its records.
		KeptSince time.Time `json:"keptSince"`
	}

	// Step is one record of a timeline.
	Step struct {
		At      time.Time `json:"at"`
		Process string    `json:"process"`
		Role    string    `json:"role"`
		// Event is the code in docs/events.md, such as VR2203.
		Event   string   `json:"event"`
		Message string   `json:"message"`
		Details []Detail `json:"details,omitempty"`
	}

	// Detail is one detail of a step.
	Detail struct {
		Key   string `json:"key"`
		Value string `json:"value"`
	}
)

// outcomes describes the events that end a generation, call or request, by number.
var outcomes = map[int]string{
	logger.RequestRefused.Number:      "The request was refused before it ran.",
	logger.GenerationEnded.Number:     "The generation was delivered whole.",
	logger.GenerationLost.Number:      "The generation was left incomplete.",
	logger.GenerationCancelled.Number: "The caller gave the generation up.",
	logger.CallAnswered.Number:        "The call was answered.",
	logger.CallUnknown.Number:         "The outcome of the call is unknown.",
	logger.CallNotRun.Number:          "The call was proven not to have run.",
	logger.ClaimReplayed.Number:       "The recorded outcome was returned again.",
	logger.ClaimConflict.Number:       "The call was refused: its idempotency key belongs to another request.",
}

// Merge merges the replies of processes into a Timeline; missing names the processes that did not reply.
func Merge(id string, replies []*messenger.ExplainReply, missing []string) Timeline {
	events := make(map[int]logger.Event)
	for _, ev := range logger.Catalogue() {
		events[ev.Number] = ev
	}
	timeline := Timeline{ID: id, Steps: []Step{}, Asked: len(replies) + len(missing), Missing: missing}
	for _, reply := range replies {
		timeline.Dropped += reply.GetDropped()
		if since := time.Unix(0, reply.GetKeptSince()); since.After(timeline.KeptSince) {
			timeline.KeptSince = since.UTC()
		}
		for _, rec := range reply.GetRecords() {
			timeline.Steps = append(timeline.Steps, newStep(reply, rec, events))
		}
	}
	slices.SortStableFunc(timeline.Steps, func(a, b Step) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	for _, s := range timeline.Steps {
		if outcome, ok := outcomes[eventNumber(s.Event)]; ok {
			timeline.Outcome = outcome
		}
	}
	return timeline
}

// Print writes the timeline as text for a terminal.
func (t Timeline) Print(w io.Writer) error {
	if len(t.Steps) == 0 {
		fmt.Fprintf(w, "Nothing is known of %s.\n", t.ID)
		return t.printLimits(w)
	}
	fmt.Fprintf(w, "%s, %s\n\n", t.ID, t.Steps[0].At.Format("2006-01-02 15:04:05.000 MST"))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "AFTER\tPROCESS\tEVENT\tWHAT HAPPENED")
	for _, step := range t.Steps {
		after := step.At.Sub(t.Steps[0].At).Round(100 * time.Microsecond)
		fmt.Fprintf(tw, "%v\t%s\t%s\t%s\n", after, step.Process, step.Event, step.sentence())
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if t.Outcome != "" {
		fmt.Fprintln(w, t.Outcome)
	} else {
		fmt.Fprintln(w, "No end is recorded: it may still be running.")
	}
	return t.printLimits(w)
}

// printLimits writes which records the timeline may lack.
func (t Timeline) printLimits(w io.Writer) error {
	if t.Dropped > 0 {
		fmt.Fprintf(w, "%d records in the middle were dropped to stay within the memory for records.\n", t.Dropped)
	}
	if len(t.Missing) > 0 {
		fmt.Fprintf(w, "%d of %d processes did not answer: %s.\n", len(t.Missing), t.Asked, strings.Join(t.Missing, ", "))
	}
	_, err := fmt.Fprintf(w, "Asked %d processes; their records go back to %s.\n", t.Asked, t.KeptSince.Format("15:04:05 MST"))
	return err
}

func (s Step) sentence() string {
	var b strings.Builder
	b.WriteString(s.Message)
	for i, p := range s.Details {
		if i == 0 {
			b.WriteString(":")
		} else {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, " %s %s", splitCamelCase(p.Key), p.Value)
	}
	return b.String()
}

func eventNumber(code string) int {
	var n int
	if _, err := fmt.Sscanf(code, "VR%d", &n); err != nil {
		return 0
	}
	return n
}

func newStep(reply *messenger.ExplainReply, rec *messenger.EventRecord, events map[int]logger.Event) Step {
	ev, known := events[int(rec.GetNumber())]
	if !known {
		ev = logger.Event{Number: int(rec.GetNumber()), Message: "event of another version"}
	}
	s := Step{
		At: time.Unix(0, rec.GetAt()).UTC(), Process: reply.GetProcess(), Role: reply.GetRole(),
		Event: ev.Code(), Message: ev.Message,
	}
	for _, f := range rec.GetFields() {
		if f.GetValue() == "" {
			continue
		}
		s.Details = append(s.Details, Detail{Key: f.GetKey(), Value: f.GetValue()})
	}
	return s
}

// splitCamelCase turns a camel-case key into lower-case words.
func splitCamelCase(key string) string {
	var b strings.Builder
	for _, r := range key {
		if r >= 'A' && r <= 'Z' {
			b.WriteByte(' ')
			r += 'a' - 'A'
		}
		b.WriteRune(r)
	}
	return b.String()
}
