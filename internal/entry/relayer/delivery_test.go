package relayer

import (
	"context"
	"errors"
	"testing"
	"time"

	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

// TestChooseHearsOfDeliveredTokens checks what a later attempt is asked for: the
// first attempt's deadline is long past when a long generation loses its engine.
func TestChooseHearsOfDeliveredTokens(t *testing.T) {
	first := time.Unix(100, 0)
	later := time.Unix(500, 0)
	errNone := errors.New("none")
	var asked *messenger.GenerateStart
	r := &Relayer{Choose: func(_ context.Context, _ time.Time, start *messenger.GenerateStart, _ []Target, deadline time.Time) (Target, error) {
		asked = start
		if !deadline.Equal(later) {
			t.Errorf("deadline %v, want %v", deadline, later)
		}
		return Target{}, errNone
	}}
	c := r.course(&messenger.GenerateStart{GenerationId: "g", AdmitDeadline: first.UnixNano()}, Sink{})
	c.texts = []string{"a", "b"}
	c.generation = sequencer.Generation{ID: "g", Epoch: 2, Next: 2}
	c.ran = messenger.Ran_RAN_YES
	var incomplete *IncompleteError
	if err := c.run(context.Background(), later); !errors.As(err, &incomplete) {
		t.Errorf("run returned %v", err)
	}
	if got := time.Unix(0, asked.GetAdmitDeadline()); !got.Equal(later) {
		t.Errorf("the agent is told %v as deadline, want %v", got, later)
	}
	if len(asked.GetDelivered()) != 2 || asked.GetEpoch() != 2 {
		t.Errorf("asked for %v", asked)
	}
}
