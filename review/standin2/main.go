// Standin2 holds the stand-ins of the second review and the programs of its cases. Each case starts the program under
// test with the command of the deploy file, clients and servers on loopback addresses, and judges what these see.
//
//	standin2 server ...           a stand-in for a backend server, which the cases start
//	standin2 NAME -record FILE    a case
//
// A case exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 it does the
// same without the disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

type (
	// caseRun is one run of a case.
	caseRun struct {
		fleet   *fleet
		record  *record
		trouble bool
	}

	// caseFunc runs a case. broken says how the rule was broken; it is empty if the rule held.
	caseFunc func(c *caseRun) (broken string, err error)
)

// Exit statuses of a case.
const (
	held = iota
	violated
	notRun
)

const (
	// caseTime bounds a case.
	caseTime = 110 * time.Second
	// hubs and thinHosts are the hosts with and without a disk, as in the smallest deployment.
	hubs      = 3
	thinHosts = 4
)

var errTimeout = errors.New("case took too long")

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "name a case")
		os.Exit(notRun)
	}
	if os.Args[1] == "server" {
		fmt.Fprintln(os.Stderr, runServer(os.Args[2:]))
		os.Exit(notRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2:]))
}

// runCase runs the case with a name and returns the exit status.
func runCase(name string, arguments []string) int {
	cases := map[string]caseFunc{"unframed": unframedCase, "key": keyCase}
	run, ok := cases[name]
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	path := flags.String("record", "", "file for the record")
	if err := flags.Parse(arguments); err != nil || !ok || *path == "" {
		fmt.Fprintln(os.Stderr, "unknown case, or no record")
		return notRun
	}
	broken, err := runIn(run, *path)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return notRun
	case broken != "":
		fmt.Println("rule broken:", broken)
		return violated
	default:
		fmt.Println("rule held")
		return held
	}
}

// runIn runs a case in a temporary folder, ends all its processes and removes the folder.
func runIn(run caseFunc, recordPath string) (broken string, err error) {
	r, err := openRecord(recordPath, true)
	if err != nil {
		return "", err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return "", err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	f, err := newFleet(folder, r, hubs, thinHosts)
	if err != nil {
		return "", err
	}
	c := &caseRun{fleet: f, record: r, trouble: os.Getenv("TROUBLE") != "0"}
	r.add("case begins", "trouble", c.trouble)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(c)
		done <- result{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	end := result{err: errTimeout}
	select {
	case end = <-done:
	case <-ended:
	case <-time.After(caseTime):
	}
	f.stop()
	r.add("case ends", "broken", end.broken, "error", end.err)
	return end.broken, end.err
}
