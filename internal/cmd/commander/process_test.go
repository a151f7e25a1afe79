package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/role/runner"
)

const (
	// asProgram makes the test binary run as the program itself.
	asProgram  = "VERBENAREACH_TEST_AS_PROGRAM"
	waitLimit  = 30 * time.Second
	streamSize = 1000
	// controlHosts is the number of control hosts.
	controlHosts = 3
)

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	testscript.Main(m, map[string]func(){
		"verbenareach": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// fleet runs entries, agents and control hosts as processes, and stand-in engines in
// the test's own process.
type fleet struct {
	t         testing.TB
	folder    string
	processes map[string]*exec.Cmd
	logs      map[string]*bytes.Buffer
}

func (f *fleet) address(port int) string { return fmt.Sprintf("%s:%d", processHost(), port) }

// processHost returns a loopback address derived from the process id, so that
// several runs of the tests don't collide.
func processHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.69.%d.%d", pid>>8&0xff, pid&0xff)
}

// start runs the role of the settings as a process.
func (f *fleet) start(s parser.Settings) {
	f.t.Helper()
	s.FailureDomain, s.Region = "riga-a", "riga"
	data, err := json.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.folder, s.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], s.Role, "--settings", path)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	f.logs[s.Name] = &bytes.Buffer{}
	cmd.Stderr = f.logs[s.Name]
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[s.Name] = cmd
}

func (f *fleet) signal(name string, sig os.Signal) {
	f.t.Helper()
	if err := f.processes[name].Process.Signal(sig); err != nil {
		f.t.Fatal(err)
	}
}

// exitCode waits for a process to end and returns its exit code.
func (f *fleet) exitCode(name string) int {
	_ = f.processes[name].Wait()
	return f.processes[name].ProcessState.ExitCode()
}

// controls returns the addresses of all control hosts.
func (f *fleet) controls() []string {
	all := make([]string, controlHosts)
	for i := range all {
		all[i] = f.address(22020 + i)
	}
	return all
}

func (f *fleet) startControl(i int) {
	peers := make([]parser.Peer, 0, controlHosts)
	for n, address := range f.controls() {
		peers = append(peers, parser.Peer{Name: controlName(n), Address: address})
	}
	f.start(parser.Settings{Role: "control", Name: controlName(i), Control: &parser.Control{
		Listen: f.controls()[i], OperatorListen: f.address(22010 + i), DataFolder: filepath.Join(f.folder, controlName(i)),
		OperatorKeySHA256: registrar.HashKey(runner.DemoOperatorKey), Peers: peers,
	}})
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i) }

func (f *fleet) startAgent(i int) {
	f.start(parser.Settings{Role: "agent", Name: fmt.Sprintf("engine-%d", i), Agent: &parser.Agent{
		Listen: f.address(22050 + i), AnnounceListen: f.address(22070 + i), Control: f.controls(),
	}})
}

func (f *fleet) startEntry(i int) {
	f.start(parser.Settings{Role: "entry", Name: fmt.Sprintf("entry-%d", i), Entry: &parser.Entry{
		Listen: f.address(22000 + i), PeerListen: f.address(22030 + i), Control: f.controls(),
	}})
}

// operate runs an operator's command until it succeeds.
func (f *fleet) operate(args ...string) {
	f.t.Helper()
	operators := make([]string, controlHosts)
	for i := range operators {
		operators[i] = f.address(22010 + i)
	}
	f.t.Setenv("VERBENAREACH_CONTROL", strings.Join(operators, "\n"))
	f.t.Setenv("VERBENAREACH_OPERATOR_KEY", runner.DemoOperatorKey)
	var stdout, stderr bytes.Buffer
	deadline := time.Now().Add(waitLimit)
	for {
		stdout.Reset()
		stderr.Reset()
		if Main(args, &stdout, &stderr) == exitOK {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%v: %s%s", args, &stdout, &stderr)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func startFleet(t testing.TB, step time.Duration) *fleet {
	f := &fleet{t: t, folder: t.TempDir(), processes: make(map[string]*exec.Cmd), logs: make(map[string]*bytes.Buffer)}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		for _, cmd := range f.processes {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		stop()
		if t.Failed() {
			for name, text := range f.logs {
				t.Logf("%s:\n%s", name, text)
			}
		}
	})
	for i := range controlHosts {
		f.startControl(i)
	}
	parameters := emulator.DefaultParameters()
	parameters.StepBase = step
	parameters.MemoryTokens = 1 << 24
	for i := range 3 {
		engine := &emulator.Server{
			Listen: f.address(0), Announce: f.address(22070 + i),
			Models: []emulator.Model{{Model: runner.DemoModel}}, Parameters: parameters,
		}
		go func() { _ = engine.Run(ctx) }()
		f.startAgent(i)
	}
	for i := range 2 {
		f.startEntry(i)
	}
	path := filepath.Join(f.folder, "contract.json")
	data, err := json.Marshal(runner.DemoContract())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	f.operate("contract", "put", path)
	return f
}

// request sends a request to an entry until it is answered with 200.
func (f *fleet) request(entry int, method, path, last, body string) *http.Response {
	f.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		r, err := http.NewRequest(method, "http://"+f.address(22000+entry)+path, strings.NewReader(body))
		if err != nil {
			f.t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+runner.DemoKey)
		if last != "" {
			r.Header.Set("Last-Event-ID", last)
		}
		resp, err := http.DefaultClient.Do(r)
		if err == nil && resp.StatusCode == http.StatusOK {
			return resp
		}
		detail := fmt.Sprint(err)
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			detail = string(text)
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s %s: %s", method, path, detail)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// callerStream is the stream of one generation as its caller receives it.
type callerStream struct {
	f          *fleet
	resp       *http.Response
	lines      *bufio.Scanner
	texts      []string
	lastID     string
	complete   bool
	count      int
	longestGap time.Duration
}

func (f *fleet) open(entry int) *callerStream {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":"%s","stream":true,"seed":11,"messages":[{"role":"user","content":"Draft a rota"}],"stand_in_length":%d}`, runner.DemoModel, streamSize)
	r := &callerStream{f: f}
	r.attach(f.request(entry, http.MethodPost, "/v1/chat/completions", "", body))
	return r
}

func (r *callerStream) attach(resp *http.Response) {
	r.resp, r.lines = resp, bufio.NewScanner(resp.Body)
}

// read reads n tokens, or all until the end if n is negative.
func (r *callerStream) read(n int) {
	r.f.t.Helper()
	id := ""
	for before := time.Now(); n != 0 && r.lines.Scan(); {
		name, value, _ := strings.Cut(r.lines.Text(), ": ")
		switch {
		case name == "id":
			id = value
		case name == "event":
			r.complete = value == "end"
			if value == "incomplete" {
				r.f.t.Error("incomplete")
			}
		case name == "data" && id != "":
			r.texts = append(r.texts, value)
			r.lastID, id = id, ""
			r.longestGap = max(r.longestGap, time.Since(before))
			before = time.Now()
			n--
		}
	}
}

// cancel ends the generation, so that its agent does not wait for its caller.
func (r *callerStream) cancel() {
	r.f.t.Helper()
	_ = r.resp.Body.Close()
	id, _, _ := strings.Cut(r.lastID, "@")
	req, err := http.NewRequest(http.MethodDelete, "http://"+r.f.address(22000)+"/v1/generations/"+id, nil)
	if err != nil {
		r.f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+runner.DemoKey)
	req.Header.Set("Last-Event-ID", r.lastID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.f.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// server returns the backend server of the last token.
func (r *callerStream) server() string {
	_, rest, _ := strings.Cut(r.lastID, "@")
	server, _, _ := strings.Cut(rest, "/")
	return server
}

// check reads to the end and compares the tokens with those of an undisturbed
// generation.
func (r *callerStream) check(want *callerStream) {
	r.f.t.Helper()
	r.read(-1)
	_ = r.resp.Body.Close()
	if !r.complete || strings.Join(r.texts, "") != strings.Join(want.texts, "") {
		r.f.t.Errorf("whole %v, %d tokens, last %s, want %d", r.complete, len(r.texts), r.lastID, len(want.texts))
	}
	r.f.t.Logf("longest time between tokens %v", r.longestGap)
}

// TestProcessesUnderFailure kills, freezes and stops processes in mid-stream. Each
// time the caller must get the complete answer.
func TestProcessesUnderFailure(t *testing.T) {
	f := startFleet(t, 2*time.Millisecond)
	want := f.open(0)
	want.read(-1)
	if !want.complete || len(want.texts) != streamSize {
		t.Fatalf("undisturbed: whole %v, %d tokens", want.complete, len(want.texts))
	}
	t.Run("agent killed", func(t *testing.T) {
		f.t = t
		r := f.open(0)
		r.read(100)
		victim := r.server()
		f.signal(victim, syscall.SIGKILL)
		r.check(want)
		_ = f.exitCode(victim)
		f.restart(victim)
	})
	t.Run("agent frozen", func(t *testing.T) {
		f.t = t
		r := f.open(0)
		r.read(100)
		victim := r.server()
		f.signal(victim, syscall.SIGSTOP)
		r.check(want)
		f.signal(victim, syscall.SIGCONT)
	})
	t.Run("entry killed", func(t *testing.T) {
		f.t = t
		r := f.open(1)
		r.read(100)
		f.signal("entry-1", syscall.SIGKILL)
		r.read(-1)
		id, _, _ := strings.Cut(r.lastID, "@")
		r.attach(f.request(0, http.MethodGet, "/v1/generations/"+id, r.lastID, ""))
		r.check(want)
		_ = f.exitCode("entry-1")
		f.startEntry(1)
	})
	t.Run("server leaves", func(t *testing.T) {
		f.t = t
		r := f.open(0)
		r.read(100)
		leaving := r.server()
		f.operate("server", "leave", leaving)
		for range 6 {
			other := f.open(0)
			other.read(3)
			if other.server() == leaving {
				t.Errorf("new work reached %s", leaving)
			}
			other.cancel()
		}
		r.check(want)
		f.operate("server", "return", leaving)
	})
	t.Run("agent stops", func(t *testing.T) {
		f.t = t
		r := f.open(0)
		r.read(100)
		stopping := r.server()
		f.signal(stopping, syscall.SIGTERM)
		r.read(100)
		f.signal(stopping, syscall.SIGTERM)
		r.check(want)
		if !strings.Contains(r.lastID, "@"+stopping+"/") {
			t.Errorf("the stop moved the generation to %s", r.lastID)
		}
		if code := f.exitCode(stopping); code != exitOK {
			t.Errorf("exit code %d", code)
		}
		f.restart(stopping)
	})
	t.Run("control hosts killed in turn", func(t *testing.T) {
		f.t = t
		r := f.open(0)
		r.read(100)
		for i := range controlHosts {
			// The next host is killed as soon as the former one has been started again.
			f.signal(controlName(i), syscall.SIGKILL)
			_ = f.exitCode(controlName(i))
			f.operate("server", "leave", "engine-0")
			f.operate("server", "return", "engine-0")
			f.startControl(i)
		}
		r.check(want)
	})
	t.Run("entry stops", func(t *testing.T) {
		f.t = t
		r := f.open(0)
		r.read(100)
		f.signal("entry-0", syscall.SIGTERM)
		r.check(want)
		if code := f.exitCode("entry-0"); code != exitOK {
			t.Errorf("exit code %d", code)
		}
	})
}

// restart starts an agent again.
func (f *fleet) restart(name string) {
	var i int
	if _, err := fmt.Sscanf(name, "engine-%d", &i); err != nil {
		f.t.Fatal(err)
	}
	f.startAgent(i)
}
