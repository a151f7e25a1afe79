package driver

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/replay/checker"
	"verbenareach/internal/replay/tracer"
)

const samples = "../../../samples"

// testHost returns a loopback address derived from the process id, so that several
// runs of the tests don't collide.
func testHost(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n)
}

// TestShortTraces runs the shortened traces of both users against standalone systems.
// These traces state no latencies, because CI asserts none.
func TestShortTraces(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		file string
		host string
	}{
		{"cleaning at the choirs", "choirs/traces/cleaning-short.jsonl", testHost(1)},
		{"bad day at the Association", "association/traces/badday-short.jsonl", testHost(2)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			trace, err := tracer.ReadFile(filepath.Join(samples, tt.file))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
			defer cancel()
			parameters := emulator.DefaultParameters()
			parameters.StepBase = 6 * time.Millisecond
			s := &Standalone{Trace: trace, Host: tt.host, BasePort: 23000, Parameters: parameters}
			if err := s.Start(ctx); err != nil {
				t.Fatal(err)
			}
			r := s.Replayer("test")
			result, err := r.Run(ctx)
			if err != nil {
				t.Error(err)
			} else {
				checkVerdict(t, checker.Check(trace, result, s.Processes.Admitted(ctx, r.Started())))
			}
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

func checkVerdict(t *testing.T, v checker.Verdict) {
	t.Helper()
	if v.OK && len(v.NotDriven) == 0 {
		return
	}
	var text bytes.Buffer
	if err := v.Print(&text); err != nil {
		t.Error(err)
	}
	t.Errorf("verdict:\n%s", &text)
}

// TestSampleTraces reads all sample traces and their contracts.
func TestSampleTraces(t *testing.T) {
	files, err := filepath.Glob(samples + "/*/traces/*.jsonl")
	if err != nil || len(files) < 6 {
		t.Fatalf("%d traces, %v", len(files), err)
	}
	for _, file := range files {
		trace, err := tracer.ReadFile(file)
		if err != nil {
			t.Error(err)
			continue
		}
		kinds := make(map[string]int)
		for _, s := range trace.Steps {
			switch {
			case s.Generate != nil:
				kinds["generate"]++
			case s.Call != nil:
				kinds["call"]++
			default:
				kinds["event"]++
			}
		}
		if kinds["generate"] == 0 || kinds["call"] == 0 || kinds["event"] == 0 {
			t.Errorf("%s lacks a kind of steps: %v", file, kinds)
		}
	}
}

// TestFindingsOfATrace checks that the errors in all lines are reported with their
// line numbers.
func TestFindingsOfATrace(t *testing.T) {
	head := fmt.Sprintf(`{"trace":"t","contracts":[%q,"no-such-file.json"],"keys":{"daugava-union":"k"},"system":{"entries":[{"name":"e"}],"engines":[{"name":"g"}]},"outcomes":{}}`, "contract.json")
	folder := t.TempDir()
	contract, err := os.ReadFile(samples + "/choirs/contracts/daugava-union.json")
	if err != nil {
		t.Fatal(err)
	}
	lines := head + `
{"at":"1s","generate":{"name":"a","workspace":"daugava-union","model":"rota-writer","promptTokens":5,"length":3}}
{"at":"1s","generate":{"name":"a","workspace":"daugava-union","model":"rota-writer","promptTokens":5,"length":3}}
{"at":"0s","generate":{"name":"b","workspace":"nobody","model":"rota-writer","promptTokens":5,"length":3}}
{"at":"1s","generate":{"name":"c","workspace":"daugava-union","model":"no-model","promptTokens":0,"length":0,"vanishAfter":9}}
{"at":"1s","call":{"name":"d","workspace":"daugava-union","method":"POST","path":"swaps"}}
{"at":"1s","fault":{"server":"g","kind":"explode"}}
{"at":"1s","fault":{"server":"x","kind":"stall"}}
{"at":"1s","mark":{"server":"x","leaving":true}}
{"at":"1s","stop":{"process":"x"}}
{"at":"1s"}
{"at":"1s","colour":1}
not JSON
`
	if err := os.WriteFile(filepath.Join(folder, "contract.json"), contract, 0o600); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(folder, "trace.jsonl")
	if err := os.WriteFile(file, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = tracer.ReadFile(file)
	if err == nil {
		t.Fatal("no findings")
	}
	for _, want := range []string{
		"line 1: /contracts: ", `line 3: /name: "a" is there twice`, "line 4: /at: is before", "line 4: /generate/workspace: no contract",
		`line 5: /generate/model: `, "line 5: /generate: promptTokens", "line 5: /generate/length", "line 5: /generate/vanishAfter",
		"line 6: /call: the first line names no service", "line 7: /fault/kind", "line 8: /fault/server", "line 8: /fault/for",
		"line 9: /mark/server", "line 10: /stop/process", "line 11: has 0 of", "line 12: ", "line 13: ",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in:\n%v", want, err)
		}
	}
}
