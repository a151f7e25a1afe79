package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/event/explainer"
	"verbenareach/internal/role/runner"
)

// startInsightSystem runs a standalone system and returns the flags to connect to it.
func startInsightSystem(t *testing.T) (*runner.Standalone, []string) {
	t.Helper()
	s := &runner.Standalone{
		Host: fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255), BasePort: 22000, DataFolder: t.TempDir(), Entries: 2, Engines: 1, Services: 1,
		Parameters: emulator.DefaultParameters(),
	}
	s.Prepare()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(runner.DemoOperatorKey+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return s, []string{"--control", s.OperatorAddress(), "--key-file", keyFile}
}

// post sends a caller's request and returns the status, the generation or request id
// and the body.
func post(t *testing.T, url, key, body string) (int, string, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	id := resp.Header.Get("X-Generation-Id") + resp.Header.Get("X-Request-Id")
	return resp.StatusCode, id, string(text)
}

func TestExplainAndReport(t *testing.T) {
	s, flags := startInsightSystem(t)
	generation := `{"model":"rota-large","stream":true,"prompt":"who brings tea","stand_in_length":20}`
	var id string
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, got, text := post(t, "http://"+s.EntryAddress(1)+"/v1/completions", runner.DemoKey, generation)
		if id = got; status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("status %d: %s", status, text)
		}
	}
	_, refused, _ := post(t, "http://"+s.EntryAddress(0)+"/v1/completions", runner.DemoKey, `{"model":"no-such-model","prompt":"x"}`)
	status, call, text := post(t, "http://"+s.EntryAddress(0)+"/v1/services/rota/swaps", runner.DemoKey, `{"reference":"swap-1"}`)
	if status != http.StatusCreated {
		t.Fatalf("swap: %d %s", status, text)
	}
	checkMain := func(name string, args []string, code int, shown ...string) string {
		t.Helper()
		var stdout, stderr bytes.Buffer
		if got := Main(append(args, flags...), &stdout, &stderr); got != code {
			t.Errorf("%s: exit code %d, want %d: %s", name, got, code, &stderr)
		}
		out := stdout.String() + stderr.String()
		for _, want := range shown {
			if !strings.Contains(out, want) {
				t.Errorf("%s: %q is not shown in:\n%s", name, want, out)
			}
		}
		for _, secret := range []string{runner.DemoKey, runner.DemoOperatorKey} {
			if strings.Contains(out, secret) {
				t.Errorf("%s: a key is shown in:\n%s", name, out)
			}
		}
		if os.Getenv("SHOW") != "" {
			t.Logf("%s:\n%s", name, out)
		}
		return stdout.String()
	}
	checkMain("generation", []string{"explain", id}, exitOK, "entry-2", "engine-1", "VR2203", "The generation was delivered whole.", "Asked 5 processes; their")
	checkMain("refused", []string{"explain", refused}, exitOK, "unknownModel", "refused before it ran")
	checkMain("call", []string{"explain", call}, exitOK, "service-1", "VR2306", "The call was answered.")
	checkMain("unknown", []string{"explain", "g-nothing"}, exitFailure, "Nothing is known of g-nothing", "no process has a record")
	var timeline explainer.Timeline
	if err := json.Unmarshal([]byte(checkMain("JSON", []string{"explain", "--json", id}, exitOK)), &timeline); err != nil || len(timeline.Steps) < 3 {
		t.Errorf("%v, %d steps", err, len(timeline.Steps))
	}
	checkMain("report", []string{"report"}, exitOK, "from 2 entries", "demo / rota-large", "demo / service/rota", "budget left")
	checkMain("report of nobody", []string{"report", "--workspace", "nobody"}, exitOK, "Nothing has been counted yet")
	page := filepath.Join(t.TempDir(), "burn.html")
	checkMain("page", []string{"report", "--html", page}, exitOK)
	if data, err := os.ReadFile(page); err != nil || !strings.Contains(string(data), "<svg") {
		t.Errorf("%v, %d bytes", err, len(data))
	}
	status, _, _ = post(t, "http://"+s.OperatorAddress()+"/report", "wrong", "")
	if status != http.StatusUnauthorized {
		t.Errorf("the page with a wrong key: %d", status)
	}
}
