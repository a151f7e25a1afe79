package commander

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"verbenareach/internal/control/replicator"
)

func addControl(app *kingpin.Application, run map[string]func() error, stdout, stderr io.Writer) {
	control := app.Command("control", "Run a control host, which keeps contracts, marks and claims; list, add and remove control hosts.")
	addRoleTo(control.Command("run", "Run a control host.").Default(), run, stderr, "control")
	addControlList(control, run, stdout)
	addControlAdd(control, run, stdout)
	addControlRemove(control, run, stdout)
}

func addControlList(control *kingpin.CmdClause, run map[string]func() error, stdout io.Writer) {
	cmd := control.Command("list", "List the control hosts and how much of the replicated log each holds.")
	flags := addOperatorFlags(cmd)
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		s, err := c.ControlHosts(context.Background())
		if err != nil {
			return err
		}
		return flags.printHosts(stdout, s)
	}
}

func addControlAdd(control *kingpin.CmdClause, run map[string]func() error, stdout io.Writer) {
	cmd := control.Command("add", "Add a control host with an empty data folder. It first copies the state and votes once it has caught up; "+
		"a former host of the same name, whose disk is lost, is removed.")
	flags := addOperatorFlags(cmd)
	var host replicator.Peer
	timeout := cmd.Flag("timeout", "How long to wait until the host has caught up.").Default("5m").Duration()
	cmd.Arg("NAME", "Name of the control host, as in its settings.").Required().StringVar(&host.Name)
	cmd.Arg("ADDRESS", "IP number and port at which it listens for other processes.").Required().StringVar(&host.Address)
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), *timeout)
		defer cancel()
		s, err := c.AddControlHost(ctx, host)
		if err != nil {
			return err
		}
		return flags.printHosts(stdout, s)
	}
}

func addControlRemove(control *kingpin.CmdClause, run map[string]func() error, stdout io.Writer) {
	cmd := control.Command("remove", "Remove a control host; refused if no quorum would be left.")
	flags := addOperatorFlags(cmd)
	id := cmd.Arg("NAME", "Name or id of the control host.").Required().String()
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		s, err := c.RemoveControlHost(ctx, *id)
		if err != nil {
			return err
		}
		return flags.printHosts(stdout, s)
	}
}

// printHosts prints the membership as reported by a control host.
func (f *operatorFlags) printHosts(stdout io.Writer, s replicator.Status) error {
	if f.asJSON {
		return printJSON(stdout, s)
	}
	leads := s.Leader.Name
	if leads == "" {
		leads = "no host"
	}
	fmt.Fprintf(stdout, "%s leads term %d, committed up to %d (told by %s)\n", leads, s.Term, s.Commit, s.Name)
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROL HOST\tID\tADDRESS\tVOTES\tANSWERS\tHOLDS UP TO")
	for _, m := range s.Members {
		votes, answers, holds := "no, catching up", "-", "-"
		if m.Voter {
			votes = "yes"
		}
		if s.Role == "leader" {
			holds = fmt.Sprint(m.Match)
			answers = "no"
		}
		if m.Alive {
			answers = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.ID, m.Address, votes, answers, holds)
	}
	return w.Flush()
}
