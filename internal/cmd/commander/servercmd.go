package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/operator/requester"
	"verbenareach/internal/operator/responder"
)

type (
	// markResult is the JSON output of server leave and server return.
	markResult struct {
		responder.MarkReply
		// Server is the last known state of the backend server.
		Server responder.Server `json:"server"`
	}

	// markCommand holds the arguments of one run of server leave or server return.
	markCommand struct {
		client  *requester.Requester
		stderr  io.Writer
		server  string
		leaving bool
		// replaces is the number of the mark to replace; -1 for the newest.
		replaces int64
		// waitDrained makes the command wait until no work is in progress.
		waitDrained bool
		timeout     time.Duration
	}
)

// serverPollInterval is the time between two queries of a backend server's state.
const serverPollInterval = 250 * time.Millisecond

func addServer(app *kingpin.Application, run map[string]func() error, stdout, stderr io.Writer) {
	server := app.Command("server", "List backend servers, take them out of service and return them to service.")
	addServerList(server, run, stdout)
	addServerMark(server, run, stdout, stderr, true)
	addServerMark(server, run, stdout, stderr, false)
}

func addServerList(server *kingpin.CmdClause, run map[string]func() error, stdout io.Writer) {
	cmd := server.Command("list", "List backend servers with their marks and their work in progress.")
	flags := addOperatorFlags(cmd)
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		list, err := c.Servers(context.Background())
		if err != nil {
			return err
		}
		if flags.asJSON {
			return printJSON(stdout, list)
		}
		return printServers(stdout, list)
	}
}

func addServerMark(server *kingpin.CmdClause, run map[string]func() error, stdout, stderr io.Writer, leaving bool) {
	name, help := "return", "Take a backend server back into service."
	if leaving {
		name, help = "leave", "Stop new work for a backend server; work in progress is finished. Succeeds once its agent has confirmed."
	}
	cmd := server.Command(name, help)
	flags := addOperatorFlags(cmd)
	m := &markCommand{stderr: stderr, leaving: leaving}
	cmd.Flag("replaces", "Number of the mark to replace; the newest by default.").Default("-1").Int64Var(&m.replaces)
	if leaving {
		cmd.Flag("wait", "Wait until no work is in progress.").BoolVar(&m.waitDrained)
	}
	cmd.Flag("timeout", "How long to wait for the confirmation, and with --wait for the end of the work in progress.").
		Default("20s").DurationVar(&m.timeout)
	cmd.Arg("SERVER", "Name of the backend server.").Required().StringVar(&m.server)
	run[cmd.FullCommand()] = func() error {
		var err error
		if m.client, err = flags.requester(); err != nil {
			return err
		}
		result, err := m.run()
		if err != nil {
			return err
		}
		if flags.asJSON {
			return errors.Join(printJSON(stdout, result), m.failure(result))
		}
		m.print(stdout, result)
		return m.failure(result)
	}
}

// run sets the mark and waits for its confirmation, with waitDrained also for the
// end of all work in progress.
func (m *markCommand) run() (markResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), m.timeout)
	defer cancel()
	replaces, err := m.numberToReplace(ctx)
	if err != nil {
		return markResult{}, err
	}
	reply, err := m.client.SetMark(ctx, m.server, responder.MarkRequest{Replaces: replaces, Leaving: m.leaving})
	if err != nil {
		return markResult{}, err
	}
	result := markResult{MarkReply: reply}
	if reply.Outcome == registrar.OutcomeConflict || reply.Outcome == registrar.OutcomeInvalid {
		return result, nil
	}
	for {
		if server, err := m.serverStatus(ctx); err == nil {
			result.Server = server
		}
		s := result.Server
		if s.Mark.Number >= reply.Mark.Number && (s.Confirmed && !m.waitDrained || s.Confirmed && s.InProgress == 0) {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return result, nil
		case <-time.After(serverPollInterval):
		}
	}
}

// numberToReplace returns the number of the mark to replace. If the newest mark is
// already the wanted one, that is its predecessor's, so that the same change is sent
// again.
func (m *markCommand) numberToReplace(ctx context.Context) (uint64, error) {
	if m.replaces >= 0 {
		return uint64(m.replaces), nil
	}
	s, err := m.serverStatus(ctx)
	if err != nil {
		return 0, err
	}
	if s.Mark.Number > 0 && s.Mark.Leaving == m.leaving {
		return s.Mark.Number - 1, nil
	}
	return s.Mark.Number, nil
}

// serverStatus returns the state of the backend server; only its name is set if it
// is unknown.
func (m *markCommand) serverStatus(ctx context.Context) (responder.Server, error) {
	list, err := m.client.Servers(ctx)
	if err != nil {
		return responder.Server{}, err
	}
	for _, s := range list.Servers {
		if s.Name == m.server {
			return s, nil
		}
	}
	return responder.Server{Name: m.server}, nil
}

func (m *markCommand) print(w io.Writer, r markResult) {
	if r.Outcome == registrar.OutcomeConflict || r.Outcome == registrar.OutcomeInvalid {
		return
	}
	verb := "returns to service"
	if m.leaving {
		verb = "leaves"
	}
	fmt.Fprintf(w, "%s: %s, mark number %d\n", m.server, verb, r.Mark.Number)
	if !r.Server.Confirmed {
		return
	}
	fmt.Fprintf(w, "confirmed by its agent (%s)\n", r.Server.ConfirmedBy)
	if m.leaving {
		fmt.Fprintf(w, "it takes no new work; %s\n", progressText(r.Server))
	}
}

// failure returns the error of a mark that was not accepted, not confirmed or, with
// waitDrained, not drained in time; nil otherwise.
func (m *markCommand) failure(r markResult) error {
	s := r.Server
	switch {
	case r.Outcome == registrar.OutcomeConflict:
		return fmt.Errorf("conflict: not accepted; the newest mark of %s is number %d (%s) by %s at %s\n  run the command again if it is still wanted",
			m.server, r.Current.Number, markText(r.Current), r.Current.By, formatTime(r.Current.At))
	case r.Outcome == registrar.OutcomeInvalid:
		return findingsError("mark of "+m.server, r.Findings)
	case s.Mark.Number > r.Mark.Number:
		return fmt.Errorf("replaced since by mark number %d (%s) by %s", s.Mark.Number, markText(s.Mark), s.Mark.By)
	case !s.Live:
		return fmt.Errorf("not confirmed: %s is not live now; the mark holds for when it comes back\n  check the name with server list", m.server)
	case !s.Confirmed:
		return fmt.Errorf("not confirmed: the agent of %s has not answered within %s; don't clean it yet\n  run the same command again, or check it with server list", m.server, m.timeout)
	case m.waitDrained && s.InProgress > 0:
		return fmt.Errorf("still %s; run the same command again to continue waiting", progressText(s))
	}
	return nil
}

func markText(m registrar.Mark) string {
	if m.Leaving {
		return "leaving"
	}
	return "in service"
}

func printServers(stdout io.Writer, list responder.ServerList) error {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVER\tFAILURE DOMAIN\tSERVES\tSTATE\tCONFIRMED\tIN PROGRESS")
	for _, s := range list.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", s.Name, orDash(s.FailureDomain), offerText(s.Backend), stateText(s), confirmedText(s), progressText(s))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(list.Unreachable) > 0 {
		fmt.Fprintf(stdout, "control hosts that could not be asked: %s\n", strings.Join(list.Unreachable, ", "))
	}
	return nil
}

func confirmedText(s responder.Server) string {
	switch {
	case s.Mark.Number == 0:
		return "-"
	case s.Confirmed:
		return "yes, " + s.ConfirmedBy
	default:
		return "no"
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func progressText(s responder.Server) string {
	if !s.Live {
		return "-"
	}
	if s.InProgress == 0 {
		return "nothing in progress"
	}
	text := fmt.Sprintf("%d in progress", s.InProgress)
	if s.OldestSeconds > 0 {
		text += fmt.Sprintf(", oldest for %s", time.Duration(s.OldestSeconds)*time.Second)
	}
	return text
}

// offerText lists the models or the service that a backend server offers.
func offerText(b registrar.Backend) string {
	if b.Service != "" {
		return "service " + b.Service
	}
	var names []string
	for _, m := range b.Models {
		name := m.Model
		if m.Adapter != "" {
			name += "+" + m.Adapter
		}
		if m.Version != "" {
			name += "@" + m.Version
		}
		names = append(names, name)
	}
	return orDash(strings.Join(names, " "))
}

func stateText(s responder.Server) string {
	text := markText(s.Mark)
	if !s.Live {
		text += ", not live"
	}
	if s.SilentSeconds > 3 {
		text += fmt.Sprintf(", silent for %.0fs", s.SilentSeconds)
	}
	return text
}
