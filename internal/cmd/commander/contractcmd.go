package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/operator/decoder"
	"verbenareach/internal/operator/requester"
	"verbenareach/internal/operator/responder"
)

// putResult is the JSON output of contract put.
type putResult struct {
	responder.PutReply
	// InForce is set if the command waited for acknowledgements.
	InForce *responder.InForce `json:"inForce,omitempty"`
}

func addContract(app *kingpin.Application, run map[string]func() error, stdout io.Writer) {
	contract := app.Command("contract", "Read and write contracts, which define what a workspace may do.")
	addContractPut(contract, run, stdout)
	addContractGet(contract, run, stdout)
	addContractList(contract, run, stdout)
	addContractHistory(contract, run, stdout)
}

func addContractPut(contract *kingpin.CmdClause, run map[string]func() error, stdout io.Writer) {
	cmd := contract.Command("put", "Put a contract in force. Its number must be that of the contract it replaces, as printed by contract get; a workspace's first contract has none.")
	flags := addOperatorFlags(cmd)
	wait := cmd.Flag("wait", "Wait until the contract is in force on all live entries and agents, and list those that have not acknowledged it.").Bool()
	timeout := cmd.Flag("timeout", "How long to wait.").Default("30s").Duration()
	file := cmd.Arg("FILE", "Contract in JSON; - reads the standard input.").Required().String()
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		text, err := readInput(*file)
		if err != nil {
			return err
		}
		parsed, findings := decoder.Contract(text)
		if len(findings) > 0 {
			return findingsError(*file, findings)
		}
		reply, err := c.PutContract(context.Background(), parsed.Workspace, text)
		if err != nil {
			return err
		}
		result := putResult{PutReply: reply}
		taken := reply.Outcome == registrar.OutcomeAccepted || reply.Outcome == registrar.OutcomeRepeated
		if taken && *wait {
			if result.InForce, err = waitInForce(c, reply.Index, *timeout); err != nil {
				return err
			}
		}
		if flags.asJSON {
			return errors.Join(printJSON(stdout, result), putError(result, *file))
		}
		printPut(stdout, parsed.Workspace, result)
		return putError(result, *file)
	}
}

func addContractGet(contract *kingpin.CmdClause, run map[string]func() error, stdout io.Writer) {
	cmd := contract.Command("get", "Print a workspace's contract in JSON, ready to be changed and put.")
	flags := addOperatorFlags(cmd)
	workspace := cmd.Arg("WORKSPACE", "The workspace.").Required().String()
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		contract, err := c.Contract(context.Background(), *workspace)
		if err != nil {
			return err
		}
		return printJSON(stdout, contract)
	}
}

func addContractList(contract *kingpin.CmdClause, run map[string]func() error, stdout io.Writer) {
	cmd := contract.Command("list", "List all contracts.")
	flags := addOperatorFlags(cmd)
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		list, err := c.Contracts(context.Background())
		if err != nil {
			return err
		}
		if flags.asJSON {
			return printJSON(stdout, list)
		}
		w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "WORKSPACE\tNUMBER\tKEYS\tMODELS\tSERVICES\tREQUESTS/S\tGENERATIONS\tTOKENS/S")
		for _, c := range list.Contracts {
			l := c.Limits
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", c.Workspace, c.Number, len(c.Keys), len(c.Models), len(c.Services),
				limitText(l.RequestsPerSecond), limitText(float64(l.ConcurrentGenerations)), limitText(l.TokensPerSecond))
		}
		return w.Flush()
	}
}

func addContractHistory(contract *kingpin.CmdClause, run map[string]func() error, stdout io.Writer) {
	cmd := contract.Command("history", "Show who changed a contract, when and what, oldest first.")
	flags := addOperatorFlags(cmd)
	workspace := cmd.Arg("WORKSPACE", "The workspace.").Required().String()
	run[cmd.FullCommand()] = func() error {
		c, err := flags.requester()
		if err != nil {
			return err
		}
		history, err := c.History(context.Background(), *workspace)
		if err != nil {
			return err
		}
		if flags.asJSON {
			return printJSON(stdout, history)
		}
		for _, r := range history.Records {
			fmt.Fprintf(stdout, "%d  %s  by %s\n", r.Number, formatTime(r.At), r.By)
			for _, line := range r.Changes {
				fmt.Fprintf(stdout, "     %s\n", line)
			}
		}
		return nil
	}
}

// limitText formats a limit, where 0 means none.
func limitText(limit float64) string {
	if limit == 0 {
		return "none"
	}
	return fmt.Sprintf("%g", limit)
}

// findingsError returns the error for a file with findings.
func findingsError(file string, findings []registrar.Finding) error {
	lines := []string{fmt.Sprintf("%s: %s; nothing was changed", file, plural(len(findings), "finding"))}
	for _, f := range findings {
		lines = append(lines, "  "+f.Place+": "+f.Message)
	}
	return &exitError{code: exitUsage, err: errors.New(strings.Join(lines, "\n"))}
}

func printPut(w io.Writer, workspace string, r putResult) {
	switch r.Outcome {
	case registrar.OutcomeAccepted:
		fmt.Fprintf(w, "%s: accepted as number %d\n", workspace, r.Record.Number)
	case registrar.OutcomeRepeated:
		fmt.Fprintf(w, "%s: was accepted already as number %d, %s by %s", workspace, r.Record.Number, formatTime(r.Record.At), r.Record.By)
		if r.Current != r.Record.Number {
			fmt.Fprintf(w, "; replaced since, now number %d", r.Current)
		}
		fmt.Fprintln(w)
	default:
		return
	}
	if r.InForce != nil && len(r.InForce.Missing) == 0 {
		fmt.Fprintf(w, "in force on all %s\n", plural(r.InForce.Live, "live entries and agent"))
	}
}

// putError returns the error of a put that was not accepted or, if the command
// waited, not acknowledged by all in time; nil otherwise.
func putError(r putResult, file string) error {
	switch r.Outcome {
	case registrar.OutcomeConflict:
		return errors.New(conflictText(r, file))
	case registrar.OutcomeInvalid:
		return findingsError(file, r.Findings)
	}
	if r.InForce != nil {
		return missingError(*r.InForce)
	}
	return nil
}

func conflictText(r putResult, file string) string {
	lines := []string{fmt.Sprintf("conflict: %s was not accepted; the contract is at number %d", file, r.Current)}
	if r.Record.Number != 0 {
		lines = append(lines, fmt.Sprintf("  number %d went to %s at %s:", r.Record.Number, r.Record.By, formatTime(r.Record.At)))
		for _, change := range r.Record.Changes {
			lines = append(lines, "    "+change)
		}
	}
	lines = append(lines, "  run contract get, make the change again on what it prints, and put that")
	return strings.Join(lines, "\n")
}

// missingError returns an error that lists the processes that have not acknowledged
// a change; nil if all have.
func missingError(f responder.InForce) error {
	if len(f.Missing) == 0 {
		return nil
	}
	lines := []string{fmt.Sprintf("accepted, but not yet acknowledged by %d of %d live entries and agents:", len(f.Missing), f.Live)}
	for _, m := range f.Missing {
		line := fmt.Sprintf("  %s (%s at %s)", m.Name, m.Role, m.Address)
		if m.SilentSeconds >= 0 {
			line += fmt.Sprintf(", silent for %.1fs", m.SilentSeconds)
		}
		lines = append(lines, line)
	}
	if len(f.Unreachable) > 0 {
		lines = append(lines, "  control hosts that could not be asked: "+strings.Join(f.Unreachable, ", "))
	}
	lines = append(lines, "  each applies it once it is connected to a control host again; one that stays silent is removed")
	return errors.New(strings.Join(lines, "\n"))
}

// readInput reads a file, or the standard input if file is -.
func readInput(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, eris.Wrap(err, "standard input")
	}
	data, err := os.ReadFile(file)
	return data, eris.Wrap(err, "contract")
}

func waitInForce(c *requester.Requester, index uint64, timeout time.Duration) (*responder.InForce, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	f, err := c.WaitInForce(ctx, index)
	if err != nil {
		return nil, err
	}
	return &f, nil
}
