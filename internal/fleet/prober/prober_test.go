package prober

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

var start = time.Unix(1000, 0)

func report(id, service, keeper string, state messenger.Backend_State) *messenger.Backend {
	return &messenger.Backend{Id: id, Service: service, Keeper: keeper, State: state, Address: id}
}

// newProber returns the prober of a hub that is linked to the host "linked".
func newProber(reports ...*messenger.Backend) *Prober {
	return &Prober{
		IsPaused: func(time.Time, *messenger.Backend) bool { return false },
		Self:     "self", Log: &logger.Logger{}, Reports: func() []*messenger.Backend { return reports },
		Linked:   func() []*messenger.FleetHost { return []*messenger.FleetHost{{Name: "linked"}} },
		IsEngine: func(service string) bool { return service == "llm" },
	}
}

func TestEngineInItsPauseIsProbed(t *testing.T) {
	p := newProber(report("a", "llm", "lost", messenger.Backend_STATE_READY))
	p.IsPaused = func(now time.Time, _ *messenger.Backend) bool { return now.Before(start.Add(time.Second)) }
	if n := len(p.due(start)); n != 0 {
		t.Errorf("%d are due in the pause, want 0", n)
	}
	if n := len(p.due(start.Add(time.Second))); n != 1 {
		t.Errorf("%d are due after it, want 1", n)
	}
}

func TestOnlyReadyEnginesOfLostKeepersAreDue(t *testing.T) {
	tests := []struct {
		name   string
		report *messenger.Backend
		due    bool
	}{
		{"keeper is lost", report("a", "llm", "lost", messenger.Backend_STATE_READY), true},
		{"keeper is linked", report("a", "llm", "linked", messenger.Backend_STATE_READY), false},
		{"keeper is this host", report("a", "llm", "self", messenger.Backend_STATE_READY), false},
		{"leaves already", report("a", "llm", "lost", messenger.Backend_STATE_DRAINING), false},
		{"plain service", report("a", "plain", "lost", messenger.Backend_STATE_READY), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if due := newProber(tt.report).due(start); (len(due) == 1) != tt.due {
				t.Errorf("%d are due, want %t", len(due), tt.due)
			}
		})
	}
}

func TestProbesAreSpacedAndBounded(t *testing.T) {
	var reports []*messenger.Backend
	for n := range 2 * maxProbes {
		reports = append(reports, report(fmt.Sprint(n), "llm", "lost", messenger.Backend_STATE_READY))
	}
	p := newProber(reports...)
	asked := make(map[string]int)
	for range 2 {
		due := p.due(start)
		if len(due) > maxProbes {
			t.Fatalf("%d probes at once", len(due))
		}
		for _, r := range due {
			asked[r.Id]++
		}
	}
	if len(asked) != len(reports) || len(p.due(start.Add(probeInterval/2))) > 0 {
		t.Errorf("%d of %d asked within an interval, or one of them twice", len(asked), len(reports))
	}
	if len(p.due(start.Add(probeInterval))) == 0 {
		t.Error("none is asked again")
	}
}

func TestLeavingEngineIsToldOnce(t *testing.T) {
	tests := []struct {
		name    string
		leaving bool
		err     error
		told    bool
	}{
		{"leaving", true, nil, true},
		{"not leaving", false, nil, false},
		{"no answer", true, errors.New("timeout"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newProber()
			p.Leaving = func(context.Context, string) (bool, error) { return tt.leaving, tt.err }
			told := false
			p.OnLeaving = func(time.Time, string) { told = true }
			p.probe(t.Context(), report("a", "llm", "lost", messenger.Backend_STATE_READY))
			if told != tt.told {
				t.Errorf("told is %t, want %t", told, tt.told)
			}
		})
	}
}
