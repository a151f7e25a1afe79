package server

import (
	"context"
	"testing"

	"verbenareach/internal/wire/messenger"
)

func TestOnlyTheOutcomeOfACallThatRanIsCommitted(t *testing.T) {
	for ran, want := range map[messenger.Ran]int{messenger.Ran_RAN_YES: 1, messenger.Ran_RAN_NO: 0, messenger.Ran_RAN_UNKNOWN: 0} {
		t.Run(ran.String(), func(t *testing.T) {
			committed := 0
			a := &Agent{RecordOutcome: func(context.Context, *messenger.Claim, *messenger.CallReply) (*messenger.ClaimReply, error) {
				committed++
				return &messenger.ClaimReply{}, nil
			}}
			a.recordOrphan(t.Context(), &messenger.Claim{Key: "k"}, &messenger.CallReply{Ran: ran})
			if committed != want {
				t.Errorf("%d outcomes committed, want %d", committed, want)
			}
		})
	}
}
