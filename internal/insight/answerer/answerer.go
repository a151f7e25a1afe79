// Package answerer answers other processes' questions about what this one
// decided and how well it served.
package answerer

import (
	"context"
	"time"

	"verbenareach/internal/event/explainer"
	"verbenareach/internal/report/reporter"
	"verbenareach/internal/wire/messenger"
)

// Answerer serves Insight over drpc. Its fields are set before use.
type Answerer struct {
	messenger.DRPCInsightUnimplementedServer

	// Keeper holds the records; nil tells of none.
	Keeper *explainer.Keeper
	// Reporter holds the service levels; nil for processes that serve no callers.
	Reporter *reporter.Reporter
	// Now returns the present time.
	Now func() time.Time
}

var _ messenger.DRPCInsightServer = &Answerer{}

// Burn returns the service levels that this process counted.
func (a *Answerer) Burn(_ context.Context, req *messenger.BurnRequest) (*messenger.BurnReply, error) {
	return a.Reporter.Snapshot(a.Now(), req), nil
}

// Explain returns the records that this process kept.
func (a *Answerer) Explain(_ context.Context, req *messenger.ExplainRequest) (*messenger.ExplainReply, error) {
	return a.Keeper.Explain(a.Now(), req.GetId()), nil
}
