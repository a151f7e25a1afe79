package gatherer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/event/explainer"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/insight/answerer"
	"verbenareach/internal/report/reporter"
	"verbenareach/internal/wire/messenger"
)

var start = time.Date(2026, 12, 4, 6, 30, 0, 0, time.UTC)

// fakeSystem holds processes by address that serve Insight over in-memory pipes.
type fakeSystem struct {
	t         *testing.T
	answerers map[string]*answerer.Answerer
}

func (s *fakeSystem) add(name string, role registrar.Role) *answerer.Answerer {
	a := &answerer.Answerer{
		Keeper:   &explainer.Keeper{Process: name, Role: string(role)},
		Reporter: &reporter.Reporter{Process: name, Since: start},
		Now:      func() time.Time { return start.Add(time.Minute) },
	}
	s.answerers[name] = a
	return a
}

func (s *fakeSystem) gatherer(unresponsive ...registrar.Member) *Gatherer {
	members := unresponsive
	for name, a := range s.answerers {
		members = append(members, registrar.Member{Name: name, Role: registrar.Role(a.Keeper.Role), Address: name})
	}
	return &Gatherer{Conn: s.conn, Members: func() []registrar.Member { return members }}
}

func (s *fakeSystem) conn(_ context.Context, address string) drpc.Conn {
	clientEnd, serverEnd := net.Pipe()
	a, ok := s.answerers[address]
	if !ok {
		// Nobody reads the other end, as with a hung host.
		s.t.Cleanup(func() { _ = serverEnd.Close() })
		return drpcconn.New(clientEnd)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterInsight(mux, a); err != nil {
		s.t.Error(err)
	}
	go func() {
		// The client's Close ends the pipe.
		if err := drpcserver.New(mux).ServeOne(s.t.Context(), serverEnd); err != nil && !errors.Is(err, net.ErrClosed) {
			return
		}
	}()
	return drpcconn.New(clientEnd)
}

func TestExplainMergesRecordsAndNamesUnresponsive(t *testing.T) {
	s := &fakeSystem{t: t, answerers: make(map[string]*answerer.Answerer)}
	s.add("entry-a", registrar.RoleEntry).Keeper.Keep(logger.Record{At: start, Event: logger.GenerationRouted, Subject: "g"})
	s.add("entry-b", registrar.RoleEntry).Keeper.Keep(logger.Record{At: start.Add(2), Event: logger.GenerationEnded, Subject: "g"})
	s.add("engine", registrar.RoleAgent).Keeper.Keep(logger.Record{At: start.Add(1), Event: logger.WorkAdmitted, Subject: "g"})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	timeline := s.gatherer(registrar.Member{Name: "frozen", Role: registrar.RoleAgent, Address: "frozen"}).Explain(ctx, "g")
	if len(timeline.Steps) != 3 || timeline.Steps[1].Process != "engine" || timeline.Outcome != "The generation was delivered whole." {
		t.Errorf("timeline %+v", timeline)
	}
	if len(timeline.Missing) != 1 || timeline.Missing[0] != "frozen" || timeline.Asked != 4 {
		t.Errorf("missing %v of %d", timeline.Missing, timeline.Asked)
	}
}

// TestBurnIsExactForTheWorst uses entries whose worst series differ: each series
// in the report must have the counts of all entries.
func TestBurnIsExactForTheWorst(t *testing.T) {
	s := &fakeSystem{t: t, answerers: make(map[string]*answerer.Answerer)}
	const workspaces = 3 * worstSeries
	for e, name := range []string{"entry-a", "entry-b"} {
		r := s.add(name, registrar.RoleEntry).Reporter
		for i := range workspaces {
			key := reporter.Key{Workspace: fmt.Sprint(i), Model: "m"}
			r.Called(start, key, registrar.Targets{}, time.Millisecond, true)
			if (i+e*7)%workspaces < 10 {
				r.Refused(start, key, reporter.RefusedRoom)
			}
		}
	}
	s.add("engine", registrar.RoleAgent)
	g := s.gatherer()
	report := g.Burn(t.Context(), start, "", "")
	if !report.Partial || len(report.Entries) != 2 || len(report.Missing) != 0 {
		t.Errorf("partial %v, entries %v, missing %v", report.Partial, report.Entries, report.Missing)
	}
	if len(report.Series) < worstSeries || report.Series[0].Windows[0].RefusedRoom != 2 {
		t.Errorf("%d series, first %+v", len(report.Series), report.Series[0])
	}
	for _, series := range report.Series {
		if got := series.Windows[0].Requests; got != 2 {
			t.Errorf("workspace %s has %d requests, want those of both entries", series.Workspace, got)
		}
	}
	one := g.Burn(t.Context(), start, "5", "m")
	if one.Partial || len(one.Series) != 1 || one.Series[0].Windows[0].Requests != 2 {
		t.Errorf("one workspace: %+v", one)
	}
}
