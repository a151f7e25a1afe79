package forwarder

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/wire/messenger"
)

func TestCauseThatIsNoTextKeepsTheEndOfARunFromTheScheduler(t *testing.T) {
	s := &stream{
		f: &Forwarder{}, x: &exchange{id: "run", outcome: "broken", service: cataloger.Service{Engine: &cataloger.Engine{}}},
		backend: &messenger.Backend{Id: "e1"}, interrupted: &interruption{}, streamErr: errors.New("field \xff"),
	}
	state := s.recordState(messenger.RunState_PHASE_ENDED)
	if _, err := proto.Marshal(state); err != nil || state.Cause == "" {
		t.Errorf("state %v: %v", state, err)
	}
}
