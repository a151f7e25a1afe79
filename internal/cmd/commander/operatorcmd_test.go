package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/controller"
	"verbenareach/internal/control/follower"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

const testKey = "operators-test-key"

func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

func runInBackground(t *testing.T, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("background: %v", err)
		}
	})
}

// operatorTest is a control host with one agent, on which commands can be run.
type operatorTest struct {
	t        *testing.T
	operator string
	folder   string
	agent    *follower.Follower
}

func newOperatorTest(t *testing.T) *operatorTest {
	t.Helper()
	listen := freeAddress(t)
	o := &operatorTest{t: t, operator: freeAddress(t), folder: t.TempDir()}
	settings := parser.Control{
		Listen: listen, OperatorListen: o.operator, OperatorKeySHA256: registrar.HashKey(testKey), DataFolder: t.TempDir(),
		Peers: []parser.Peer{{Name: "control-1", Address: listen}},
	}
	runInBackground(t, (&controller.Controller{Name: "control-1", Settings: settings}).Run)
	o.agent = &follower.Follower{
		Addresses: []string{listen},
		Self:      registrar.Member{Name: "engine-1", Role: registrar.RoleAgent, Address: "127.0.0.1:1", FailureDomain: "riga-a"},
	}
	runInBackground(t, o.agent.Run)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, ok := o.agent.View().Member("engine-1"); ok && o.agent.Fresh(time.Now()) {
			return o
		}
		if time.Now().After(end) {
			t.Fatal("the agent never became a member")
		}
	}
}

// run runs a command and returns its exit code and what it printed.
func (o *operatorTest) run(args ...string) (code int, stdout, stderr string) {
	o.t.Helper()
	keyFile := filepath.Join(o.folder, "key")
	if err := os.WriteFile(keyFile, []byte(testKey+"\n"), 0o600); err != nil {
		o.t.Fatal(err)
	}
	var out, errs bytes.Buffer
	args = append(args, "--control", o.operator, "--key-file", keyFile, "--operator", "ieva")
	code = Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

func (o *operatorTest) write(name, text string) string {
	o.t.Helper()
	file := filepath.Join(o.folder, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
	return file
}

func TestContractCommands(t *testing.T) {
	o := newOperatorTest(t)
	hash := registrar.HashKey("caller")
	first := o.write("first.json", `{"workspace":"choir","keys":[{"name":"web","sha256":"`+hash+`"}]}`)
	other := o.write("other.json", `{"workspace":"choir","keys":[{"name":"web","sha256":"`+hash+`"}],"share":3}`)
	stolen := o.write("stolen.json", `{"workspace":"rival","keys":[{"name":"web","sha256":"`+hash+`"}]}`)
	wrong := o.write("wrong.json", `{"workspace":"choir","share":"much","extra":1}`)
	for _, tc := range []struct {
		name           string
		args           []string
		code           int
		stdout, stderr string
	}{
		{"first put waits until it is in force", []string{"contract", "put", first, "--wait"}, exitOK, "in force on all 1 live", ""},
		{"identical resend gets the first answer", []string{"contract", "put", first}, exitOK, "accepted already as number 1", ""},
		{"other content under the number conflicts", []string{"contract", "put", other}, exitFailure, "", "number 1 went to ieva"},
		{"another workspace's key", []string{"contract", "put", stolen}, exitUsage, "", "/keys/0/sha256: another workspace"},
		{"all findings with places", []string{"contract", "put", wrong}, exitUsage, "", "/extra: unknown field"},
		{"get", []string{"contract", "get", "choir"}, exitOK, `"number": 1`, ""},
		{"get of an unknown workspace", []string{"contract", "get", "nobody"}, exitFailure, "", "has no contract"},
		{"list", []string{"contract", "list"}, exitOK, "choir", ""},
		{"history", []string{"contract", "history", "choir"}, exitOK, "by ieva", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, stdout, stderr := o.run(tc.args...)
			if code != tc.code || !strings.Contains(stdout, tc.stdout) || !strings.Contains(stderr, tc.stderr) {
				t.Errorf("exit code %d, want %d\nstdout %q should contain %q\nstderr %q should contain %q",
					code, tc.code, stdout, tc.stdout, stderr, tc.stderr)
			}
		})
	}
	if _, ok := o.agent.View().ContractByKey("caller"); !ok {
		t.Error("the agent doesn't know the contract")
	}
}

func TestServerCommands(t *testing.T) {
	o := newOperatorTest(t)
	if code, _, stderr := o.run("server", "leave", "engine-1", "--timeout", "1s"); code != exitFailure || !strings.Contains(stderr, "not confirmed") {
		t.Fatalf("an agent that is silent about its mark: exit code %d, %q", code, stderr)
	}
	o.agent.SetReport(&messenger.Report{MarkNumber: 1, InProgress: 2, OldestSeconds: 65})
	if code, stdout, stderr := o.run("server", "leave", "engine-1"); code != exitOK || !strings.Contains(stdout, "2 in progress, oldest for 1m5s") {
		t.Fatalf("confirmed leave: exit code %d, %q, %q", code, stdout, stderr)
	}
	if code, stdout, _ := o.run("server", "list"); code != exitOK || !strings.Contains(stdout, "leaving") {
		t.Fatalf("list: exit code %d, %q", code, stdout)
	}
	if code, _, stderr := o.run("server", "return", "engine-1", "--replaces", "0"); code != exitFailure || !strings.Contains(stderr, "conflict") {
		t.Fatalf("a return under the leave's number: exit code %d, %q", code, stderr)
	}
	o.agent.SetReport(&messenger.Report{MarkNumber: 2})
	code, stdout, stderr := o.run("server", "return", "engine-1", "--json")
	var result markResult
	if err := json.Unmarshal([]byte(stdout), &result); err != nil || code != exitOK {
		t.Fatalf("return: exit code %d, %q, %q: %v", code, stdout, stderr, err)
	}
	if result.Mark.Number != 2 || result.Mark.Leaving || !result.Server.Confirmed {
		t.Errorf("return printed %+v", result)
	}
	if code, _, stderr := o.run("server", "leave", "engine-9", "--timeout", "100ms"); code != exitFailure || !strings.Contains(stderr, "not live") {
		t.Errorf("unknown server: exit code %d, %q", code, stderr)
	}
}

func TestWrongOperatorKey(t *testing.T) {
	o := newOperatorTest(t)
	file := o.write("wrong-key", "nonsense")
	var out, errs bytes.Buffer
	code := Main([]string{"server", "list", "--control", o.operator, "--key-file", file}, &out, &errs)
	if code != exitFailure || !strings.Contains(errs.String(), "operator key is missing or wrong") || strings.Contains(errs.String(), "nonsense") {
		t.Errorf("exit code %d, %q", code, errs.String())
	}
}
