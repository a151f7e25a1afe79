package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/operator/requester"
	"verbenareach/internal/replay/checker"
	"verbenareach/internal/replay/driver"
	"verbenareach/internal/replay/replayer"
	"verbenareach/internal/replay/tracer"
)

// replayCommand holds the arguments of one run of replay.
type replayCommand struct {
	stdout, stderr io.Writer
	file           string
	asJSON         bool
	// partial accepts steps that could not be executed.
	partial bool
	// entries are the addresses of running entries; empty for a standalone system.
	entries  []string
	engines  map[string]string
	services map[string]string
	control  []string
	keyFile  string
	host     string
	port     int
}

func addReplay(app *kingpin.Application, run map[string]func() error, stdout, stderr io.Writer) {
	cmd := app.Command("replay", "Run a trace against a standalone system made for it, or against running processes, and check the trace's stated outcomes. Exits with 1 if an outcome is missed.")
	r := &replayCommand{stdout: stdout, stderr: stderr}
	cmd.Flag("json", "Print JSON.").BoolVar(&r.asJSON)
	cmd.Flag("partial", "Accept steps of the trace that could not be executed.").BoolVar(&r.partial)
	cmd.Flag("entry", "Callers' address of a running entry; repeat it for each entry of the trace, in its order.").PlaceHolder("IP:PORT").StringsVar(&r.entries)
	r.engines, r.services = make(map[string]string), make(map[string]string)
	cmd.Flag("engine", "Address of the stand-in behind a backend server; repeat it for each engine of the trace.").PlaceHolder("NAME=IP:PORT").StringMapVar(&r.engines)
	cmd.Flag("service", "Address of the stand-in behind a backend server; repeat it for each service of the trace.").PlaceHolder("NAME=IP:PORT").StringMapVar(&r.services)
	cmd.Flag("control", "Operators' address of a running control host; repeat it for each host.").Envar("VERBENAREACH_CONTROL").PlaceHolder("IP:PORT").StringsVar(&r.control)
	cmd.Flag("key-file", "File that holds the operator key; needed with --entry.").ExistingFileVar(&r.keyFile)
	cmd.Flag("host", "IP number of the standalone system.").Default("127.0.0.1").StringVar(&r.host)
	cmd.Flag("port", "First of the 90 ports of the standalone system.").Default("9100").IntVar(&r.port)
	cmd.Arg("TRACE", "Trace in JSON lines, such as samples/choirs/traces/quiet-week.jsonl.").Required().StringVar(&r.file)
	run[cmd.FullCommand()] = r.run
}

// run replays the trace and prints the checker's verdict.
func (r *replayCommand) run() error {
	trace, err := tracer.ReadFile(r.file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	verdict, err := r.replay(ctx, trace)
	if err != nil {
		return err
	}
	if r.asJSON {
		err = printJSON(r.stdout, verdict)
	} else {
		err = verdict.Print(r.stdout)
	}
	if err != nil {
		return err
	}
	if !verdict.OK {
		return errors.New("the run missed stated outcomes of the trace")
	}
	if len(verdict.NotDriven) > 0 && !r.partial {
		return errors.New("not all steps of the trace were executed; --partial accepts that")
	}
	return nil
}

func (r *replayCommand) replay(ctx context.Context, trace tracer.Trace) (verdict checker.Verdict, err error) {
	runID := strconv.FormatInt(time.Now().UnixMilli(), 36)
	var processes *driver.Processes
	var re *replayer.Replayer
	if len(r.entries) > 0 {
		if processes, err = r.processes(trace); err != nil {
			return verdict, err
		}
		re = processes.Replayer(runID)
	} else {
		s := &driver.Standalone{Trace: trace, Host: r.host, BasePort: r.port, Parameters: emulator.DefaultParameters()}
		defer func() { err = errors.Join(err, s.Close()) }()
		if err := s.Start(ctx); err != nil {
			return verdict, err
		}
		processes = s.Processes
		re = s.Replayer(runID)
	}
	re.Progress = r.progress(trace)
	result, err := re.Run(ctx)
	if err != nil {
		return verdict, err
	}
	return checker.Check(trace, result, processes.Admitted(ctx, re.Started())), nil
}

// processes returns the driver of the running processes that the flags name.
func (r *replayCommand) processes(trace tracer.Trace) (*driver.Processes, error) {
	if len(r.entries) != len(trace.System.Entries) {
		return nil, &exitError{code: exitUsage, err: fmt.Errorf("the trace has %d entries, but --entry is given %d times", len(trace.System.Entries), len(r.entries))}
	}
	if len(r.control) == 0 {
		return nil, &exitError{code: exitUsage, err: errors.New("with --entry, name the control hosts: --control IP:PORT --key-file FILE")}
	}
	flags := &operatorFlags{addresses: r.control, keyFile: r.keyFile, key: os.Getenv("VERBENAREACH_OPERATOR_KEY"), operator: "replay"}
	var operator *requester.Requester
	operator, err := flags.requester()
	if err != nil {
		return nil, err
	}
	return &driver.Processes{Trace: trace, Operator: operator, Entries: r.entries, Engines: r.engines, Services: r.services}, nil
}

// progress returns a function that draws a progress bar; nil if standard error is no
// terminal.
func (r *replayCommand) progress(trace tracer.Trace) func(ended, total int) {
	f, ok := r.stderr.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return nil
	}
	bar := progressbar.NewOptions(len(trace.Steps), progressbar.OptionSetWriter(r.stderr),
		progressbar.OptionSetDescription("requests ended"), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
	return func(ended, total int) {
		bar.ChangeMax(total)
		// A progress bar that can't be drawn must not fail the replay.
		_ = bar.Set(ended)
	}
}
