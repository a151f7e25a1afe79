// Command harness plays one case of the review: it starts the project's own programs as processes on
// loopback addresses, with stand-ins for clients, backend servers and the platform.
//
//	harness CASE PROGRAM RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"moved": playMoved, "foreign": playForeign, "unsigned": playUnsigned,
	"departure": playDeparture, "late": playLate,
}

// scenario plays a case and reports whether the rule was broken.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maxRunLength = 115 * time.Second
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f := newFleet(args[1], folder, rec)
	rec.add("case %s, trouble %v", args[0], trouble)
	return play(f, scenarios[args[0]], trouble)
}

// play runs a scenario until it ends, a signal comes or it takes too long, and ends all processes.
func play(f *fleet, s scenario, trouble bool) int {
	defer f.end()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := s(f, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			f.record.note("could not run: %v", r.err)
			return exitNotRun
		case r.broken:
			f.record.note("the rule was broken")
			return exitBroken
		}
		f.record.note("the rule held")
		return exitHeld
	case <-stop:
		f.record.note("could not run: stopped by a signal")
	case <-time.After(maxRunLength):
		f.record.note("could not run: took too long")
	}
	return exitNotRun
}
