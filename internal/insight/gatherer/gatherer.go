// Package gatherer queries the processes of the system for their event records
// and service levels, and merges the replies.
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
	// maxParallel bounds the number of concurrent queries.
	maxParallel = 32
	// queryTimeout bounds one query, so that an unresponsive process does not delay the others' replies.
	queryTimeout = 2 * time.Second
	// worstSeries is how many series, the worst ones, an entry returns at most for a query without keys.
	worstSeries = 50
)

type (
	// Gatherer queries the processes that Members returns. Its fields are set before use.
	Gatherer struct {
		// Conn returns a connection to an address; Close returns it to its pool.
		Conn func(ctx context.Context, address string) drpc.Conn
		// Members returns all processes that may be queried, including this one.
		Members func() []registrar.Member
	}
)

// Burn returns the service levels of one workspace and model over all entries.
// An empty name matches all; if too many match, only the worst are returned.
func (g *Gatherer) Burn(ctx context.Context, now time.Time, workspace, model string) assessor.Report {
	entries := g.membersWithRoles(registrar.RoleEntry)
	req := &messenger.BurnRequest{Workspace: workspace, Model: model, Worst: worstSeries}
	replies, missing := g.queryBurn(ctx, entries, req)
	matched := 0
	for _, r := range replies {
		matched = max(matched, int(r.GetMatched()))
	}
	if matched > worstSeries {
		// Each entry returned its own worst series; the second query gets these series from all entries.
		req = &messenger.BurnRequest{Keys: distinctKeys(replies)}
		replies, missing = g.queryBurn(ctx, entries, req)
	}
	report := assessor.Assess(now, replies, missing)
	report.Partial = matched > worstSeries
	return report
}

// Explain merges the records of all processes about one generation, call or request.
func (g *Gatherer) Explain(ctx context.Context, id string) explainer.Timeline {
	members := g.membersWithRoles(registrar.RoleEntry, registrar.RoleAgent, registrar.RoleControl)
	replies := make([]*messenger.ExplainReply, len(members))
	missing := g.query(ctx, members, func(ctx context.Context, i int, client messenger.DRPCInsightClient) error {
		var err error
		replies[i], err = client.Explain(ctx, &messenger.ExplainRequest{Id: id})
		return err
	})
	replies = slices.DeleteFunc(replies, func(r *messenger.ExplainReply) bool { return r == nil })
	return explainer.Merge(id, replies, missing)
}

// query calls call once for each member and returns the names of the members for which it failed.
func (g *Gatherer) query(ctx context.Context, members []registrar.Member, call func(context.Context, int, messenger.DRPCInsightClient) error) []string {
	failed := make([]bool, len(members))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, m := range members {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			conn := g.Conn(ctx, m.Address)
			err := call(ctx, i, messenger.NewDRPCInsightClient(conn))
			failed[i] = err != nil
			return conn.Close()
		})
	}
	// Errors of Close do not matter: failed already holds which queries succeeded.
	_ = group.Wait()
	var missing []string
	for i, m := range members {
		if failed[i] {
			missing = append(missing, m.Name)
		}
	}
	return missing
}

func (g *Gatherer) queryBurn(ctx context.Context, members []registrar.Member, req *messenger.BurnRequest) ([]*messenger.BurnReply, []string) {
	replies := make([]*messenger.BurnReply, len(members))
	missing := g.query(ctx, members, func(ctx context.Context, i int, client messenger.DRPCInsightClient) error {
		var err error
		replies[i], err = client.Burn(ctx, req)
		return err
	})
	return slices.DeleteFunc(replies, func(r *messenger.BurnReply) bool { return r == nil }), missing
}

// membersWithRoles returns the members that have one of the roles, sorted by name.
func (g *Gatherer) membersWithRoles(roles ...registrar.Role) []registrar.Member {
	members := slices.DeleteFunc(g.Members(), func(m registrar.Member) bool { return !slices.Contains(roles, m.Role) })
	slices.SortFunc(members, func(a, b registrar.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// distinctKeys returns the key of each series in the replies, without duplicates.
func distinctKeys(replies []*messenger.BurnReply) []*messenger.BurnKey {
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
