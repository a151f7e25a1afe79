// Package gatherer asks all processes of the system what they decided and how
// well they served, and puts the answers together.
package gatherer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/event/explainer"
	"verbenareach/internal/report/assessor"
	"verbenareach/internal/wire/messenger"
)

const (
	// parallel bounds the questions that are out at once.
	parallel = 32
	// askTimeout bounds one question, so that a silent process does not hold up the others' answers.
	askTimeout = 2 * time.Second
	// worstSeries is how many series each entry names when all are asked for.
	worstSeries = 50
)

type (
	// Gatherer asks the members that a view names. Its fields are set before use.
	Gatherer struct {
		// Conn returns a connection to an address; closing it gives it back.
		Conn func(ctx context.Context, address string) drpc.Conn
		// Members returns all processes that may be asked, this one included.
		Members func() []registrar.Member
	}
)

// Burn returns the service levels over all entries of one workspace and model;
// empty names ask for all, of which the worst are returned.
func (g *Gatherer) Burn(ctx context.Context, now time.Time, workspace, model string) assessor.Report {
	entries := g.members(registrar.RoleEntry)
	req := &messenger.BurnRequest{Workspace: workspace, Model: model, Worst: worstSeries}
	replies, missing := g.askBurn(ctx, entries, req)
	matched := 0
	for _, r := range replies {
		matched = max(matched, int(r.GetMatched()))
	}
	if matched > worstSeries {
		// Each entry named its own worst series; the second question gets these from all entries.
		req = &messenger.BurnRequest{Keys: keysOf(replies)}
		replies, missing = g.askBurn(ctx, entries, req)
	}
	report := assessor.Assess(now, replies, missing)
	report.Partial = matched > worstSeries
	return report
}

// Explain returns the story of a generation, call or request from the records of all processes.
func (g *Gatherer) Explain(ctx context.Context, id string) explainer.Story {
	members := g.members(registrar.RoleEntry, registrar.RoleAgent, registrar.RoleControl)
	replies := make([]*messenger.ExplainReply, len(members))
	missing := g.ask(ctx, members, func(ctx context.Context, i int, client messenger.DRPCInsightClient) error {
		var err error
		replies[i], err = client.Explain(ctx, &messenger.ExplainRequest{Id: id})
		return err
	})
	replies = slices.DeleteFunc(replies, func(r *messenger.ExplainReply) bool { return r == nil })
	return explainer.Tell(id, replies, missing)
}

// ask puts one question to each member and returns the names of those that did not answer.
func (g *Gatherer) ask(ctx context.Context, members []registrar.Member, question func(context.Context, int, messenger.DRPCInsightClient) error) []string {
	failed := make([]bool, len(members))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, m := range members {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			conn := g.Conn(ctx, m.Address)
			err := question(ctx, i, messenger.NewDRPCInsightClient(conn))
			failed[i] = err != nil
			return conn.Close()
		})
	}
	// What a connection says when it closes does not matter: its answer is there or not.
	_ = group.Wait()
	var missing []string
	for i, m := range members {
		if failed[i] {
			missing = append(missing, m.Name)
		}
	}
	return missing
}

func (g *Gatherer) askBurn(ctx context.Context, members []registrar.Member, req *messenger.BurnRequest) ([]*messenger.BurnReply, []string) {
	replies := make([]*messenger.BurnReply, len(members))
	missing := g.ask(ctx, members, func(ctx context.Context, i int, client messenger.DRPCInsightClient) error {
		var err error
		replies[i], err = client.Burn(ctx, req)
		return err
	})
	return slices.DeleteFunc(replies, func(r *messenger.BurnReply) bool { return r == nil }), missing
}

// members returns the members of some roles, by name.
func (g *Gatherer) members(roles ...registrar.Role) []registrar.Member {
	members := slices.DeleteFunc(g.Members(), func(m registrar.Member) bool { return !slices.Contains(roles, m.Role) })
	slices.SortFunc(members, func(a, b registrar.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// keysOf returns each series that any reply names, once.
func keysOf(replies []*messenger.BurnReply) []*messenger.BurnKey {
	seen := make(map[string]bool)
	var keys []*messenger.BurnKey
	for _, r := range replies {
		for _, s := range r.GetSeries() {
			id := s.GetKey().GetWorkspace() + "\x00" + s.GetKey().GetModel()
			if !seen[id] {
				seen[id] = true
				keys = append(keys, s.GetKey())
			}
		}
	}
	return keys
}
