// Package answerer serves the event records and service levels of its process
// to other processes.
package answerer

import (
	"context"
	"time"

	"verbenareach/internal/event/explainer"
	"verbenareach/internal/report/reporter"
	"verbenareach/internal/wire/messenger"
)

// Answerer implements the Insight service over drpc. Its fields are set before use.
type Answerer struct {
	messenger.DRPCInsightUnimplementedServer

	// Keeper holds the event records; if nil, replies have none.
	Keeper *explainer.Keeper
	// Reporter holds the service levels; nil for processes that serve no callers.
	Reporter *reporter.Reporter
	// Now returns the present time.
	Now func() time.Time
}

var _ messenger.DRPCInsightServer = &Answerer{}

// Burn returns the service levels that this process measured.
func (a *Answerer) Burn(_ context.Context, req *messenger.BurnRequest) (*messenger.BurnReply, error) {
	return a.Reporter.Snapshot(a.Now(), req), nil
}

// Explain returns the records of one generation, call or request that this process kept.
func (a *Answerer) Explain(_ context.Context, req *messenger.ExplainRequest) (*messenger.ExplainReply, error) {
	return a.Keeper.Explain(a.Now(), req.GetId()), nil
}
