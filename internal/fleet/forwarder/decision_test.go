package forwarder

import (
	"fmt"
	"testing"
	"time"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/receiver"
)

// Without these fields nobody could tell which configuration a disputed request was decided by, or whose time ended.
func TestLineOfARequestLacksWhatDecidedIt(t *testing.T) {
	arrived := time.Now()
	catalog := &cataloger.Catalog{Version: 7, InForceSince: arrived.Add(-2 * time.Second)}
	tests := []struct {
		name string
		x    exchange
		want string
	}{
		{"no configuration", exchange{}, "[]"},
		{"no route", exchange{catalog: catalog}, "[{version 7} {inForce 2.01s} {decidedAfter 10ms}]"},
		{"the client's deadline has passed", exchange{catalog: catalog, limit: limitOfClient, deadline: arrived.Add(60 * time.Millisecond)},
			"[{version 7} {inForce 2.01s} {decidedAfter 10ms} {limit client} {left -40ms}]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.x.r, tt.x.decidedAt = &receiver.Request{Arrived: arrived}, arrived.Add(10*time.Millisecond)
			if got := fmt.Sprint(tt.x.decisionFields(arrived.Add(100 * time.Millisecond))); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}
