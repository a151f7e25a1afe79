package relayer

import (
	"context"
	"errors"
	"testing"
	"time"

	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

// TestChooseGetsDeliveredTokens checks the start message of a later attempt: when a long
// generation loses its engine, the first attempt's deadline has long passed.
func TestChooseGetsDeliveredTokens(t *testing.T) {
	first := time.Unix(100, 0)
	later := time.Unix(500, 0)
	errNone := errors.New("none")
	var requested *messenger.GenerateStart
	r := &Relayer{Choose: func(_ context.Context, _ time.Time, start *messenger.GenerateStart, _ []Target, deadline time.Time) (Target, error) {
		requested = start
		if !deadline.Equal(later) {
			t.Errorf("deadline %v, want %v", deadline, later)
		}
		return Target{}, errNone
	}}
	d := r.newDelivery(&messenger.GenerateStart{GenerationId: "g", AdmitDeadline: first.UnixNano()}, Sink{})
	d.texts = []string{"a", "b"}
	d.generation = sequencer.Generation{ID: "g", Epoch: 2, Next: 2}
	d.ran = messenger.Ran_RAN_YES
	var incomplete *IncompleteError
	if err := d.run(context.Background(), later); !errors.As(err, &incomplete) {
		t.Errorf("run returned %v", err)
	}
	if got := time.Unix(0, requested.GetAdmitDeadline()); !got.Equal(later) {
		t.Errorf("the start message has deadline %v, want %v", got, later)
	}
	if len(requested.GetDelivered()) != 2 || requested.GetEpoch() != 2 {
		t.Errorf("start message is %v", requested)
	}
}
