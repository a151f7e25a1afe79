package commander

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"verbenareach/internal/role/runner"
)

// TestScripts runs the test scripts in testdata/script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			pid := os.Getpid()
			host := fmt.Sprintf("127.68.%d.%d", pid>>8&0xff, pid&0xff)
			env.Setenv("HOST", host)
			env.Setenv("VERBENAREACH_CONTROL", host+":24010")
			env.Setenv("VERBENAREACH_OPERATOR_KEY", runner.DemoOperatorKey)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"eventually": eventually,
		},
	})
}

// eventually runs a program repeatedly until it succeeds or waitLimit has passed.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: eventually PROGRAM [ARG ...]")
	}
	deadline := time.Now().Add(waitLimit)
	for {
		err := ts.Exec(args[0], args[1:]...)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v: %v", args, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
