package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"verbenareach/internal/prompt/hasher"
)

const waitTimeout = 30 * time.Second

// startServer runs s until the end of the test. It returns the server's base URL and a
// channel with the result of Run.
func startServer(t *testing.T, s *Server) (url string, ended chan error) {
	t.Helper()
	s.Listen = "127.0.0.1:0"
	if s.Parameters.MemoryTokens == 0 {
		s.Parameters = DefaultParameters()
		s.Parameters.StepBase = 200 * time.Microsecond
		s.Parameters.LoadLag, s.Parameters.CacheEventLag, s.Parameters.CacheEventLoss = 0, 0, 0
	}
	s.Models = append(s.Models, Model{Model: "m"})
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ended <- s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		http.DefaultClient.CloseIdleConnections()
	})
	return "http://" + s.Address(ctx), ended
}

func post(t *testing.T, url, body string) *http.Response {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

type chunk struct {
	Choices []struct {
		Text         string
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
}

// readStream returns the token texts of a stream, its finish reason and whether it
// ended with [DONE].
func readStream(body io.Reader) (texts []string, finish string, done bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return texts, finish, true
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) != nil {
			return texts, finish, false
		}
		if c.Choices[0].FinishReason != nil {
			finish = *c.Choices[0].FinishReason
			continue
		}
		texts = append(texts, c.Choices[0].Text+c.Choices[0].Delta.Content)
	}
	return texts, finish, false
}

func expectedTexts(seed uint64, prompt hasher.Prompt, from, to int) []string {
	var texts []string
	for i := from; i < to; i++ {
		texts = append(texts, TokenText(seed, prompt.Digest, i))
	}
	return texts
}

func TestServerStreams(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("group", func(t *testing.T) {
		url, _ := startServer(t, &Server{})
		prompt := hasher.Hash("m", "", "", "who sings on Sunday")
		chat := hasher.Hash("m", "", "", "", "user", "who sings")
		drawn := DrawLength(7, prompt.Digest)
		tests := []struct {
			name   string
			path   string
			body   string
			want   []string
			finish string
		}{
			{"drawn length", "/v1/completions", `{"model":"m","prompt":"who sings on Sunday","seed":7,"stream":true}`, expectedTexts(7, prompt, 0, drawn), "stop"},
			{"fixed length", "/v1/completions", `{"model":"m","prompt":"who sings on Sunday","stand_in_length":20,"stream":true}`, expectedTexts(0, prompt, 0, 20), "stop"},
			{"chat", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"who sings"}],"stand_in_length":5,"stream":true}`, expectedTexts(0, chat, 0, 5), "stop"},
			{"maximum", "/v1/completions", `{"model":"m","prompt":"who sings on Sunday","stand_in_length":20,"max_tokens":6,"stream":true}`, expectedTexts(0, prompt, 0, 6), "length"},
			{"resumed", "/v1/completions", `{"model":"m","prompt":"who sings on Sunday","stand_in_length":6,"resume_tokens":["a","b"],"stream":true}`, expectedTexts(0, prompt, 2, 6), "stop"},
			{"resumed at the end", "/v1/completions", `{"model":"m","prompt":"who sings on Sunday","stand_in_length":2,"resume_tokens":["a","b"],"stream":true}`, nil, "stop"},
		}
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				got, finish, done := readStream(post(t, url+tt.path, tt.body).Body)
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("tokens differ (-want +got):\n%s", diff)
				}
				if finish != tt.finish || !done {
					t.Errorf("finish %q, done %v", finish, done)
				}
			})
		}
	})
}

func TestServerCompleteResponse(t *testing.T) {
	url, _ := startServer(t, &Server{})
	resp := post(t, url+"/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"a b"}],"stand_in_length":4}`)
	var body struct {
		Object  string
		Choices []struct {
			Message struct{ Role, Content string }
		}
		Usage usage
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	want := strings.Join(expectedTexts(0, hasher.Hash("m", "", "", "", "user", "a b"), 0, 4), "")
	if got := body.Choices[0].Message; got.Content != want || got.Role != "assistant" || body.Object != "chat.completion" {
		t.Errorf("answer %+v", body)
	}
	if body.Usage != (usage{PromptTokens: 3, CompletionTokens: 4, TotalTokens: 7}) {
		t.Errorf("usage %+v", body.Usage)
	}
}

func TestServerRefusals(t *testing.T) {
	url, _ := startServer(t, &Server{ChecksFences: true})
	tests := []struct {
		name   string
		path   string
		body   string
		status int
	}{
		{"malformed", "/v1/completions", `{`, 400},
		{"unknown model", "/v1/completions", `{"model":"x"}`, 404},
		{"too long", "/v1/completions", `{"model":"m","prompt":"a","stand_in_length":70000}`, 400},
		{"unknown order", "/v1/orders", `{"fence":1,"kind":"dance"}`, 400},
		{"load", "/v1/orders", `{"fence":9,"kind":"loadModel","model":"x"}`, 200},
		{"old fence", "/v1/orders", `{"fence":8,"kind":"unloadModel","model":"x"}`, 409},
		{"loaded model", "/v1/completions", `{"model":"x","stand_in_length":1}`, 200},
		{"unknown fault", "/v1/faults", `{"kind":"dance"}`, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if resp := post(t, url+tt.path, tt.body); resp.StatusCode != tt.status {
				t.Errorf("status %d, want %d", resp.StatusCode, tt.status)
			}
		})
	}
}

func TestServerIgnoresFences(t *testing.T) {
	url, _ := startServer(t, &Server{})
	for _, fence := range []string{"9", "8"} {
		if resp := post(t, url+"/v1/orders", `{"fence":`+fence+`,"kind":"loadModel","model":"x"}`); resp.StatusCode != http.StatusOK {
			t.Errorf("fence %s: status %d", fence, resp.StatusCode)
		}
	}
}

func TestServerFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault string
		want  []int
	}{
		{"repeat", `{"kind":"repeat"}`, []int{0, 0, 1, 2}},
		{"skip", `{"kind":"skip"}`, []int{1, 2}},
	}
	prompt := hasher.Hash("m", "", "", "p")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			url, _ := startServer(t, &Server{})
			post(t, url+"/v1/faults", tt.fault)
			got, _, _ := readStream(post(t, url+"/v1/completions", `{"model":"m","prompt":"p","stand_in_length":3,"stream":true}`).Body)
			var want []string
			for _, i := range tt.want {
				want = append(want, TokenText(0, prompt.Digest, i))
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("tokens differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestServerReclaimed(t *testing.T) {
	url, ended := startServer(t, &Server{})
	resp := post(t, url+"/v1/completions", `{"model":"m","prompt":"p","stand_in_length":50000,"stream":true}`)
	post(t, url+"/v1/faults", `{"kind":"reclaim","notice":"20ms"}`)
	if _, _, done := readStream(resp.Body); done {
		t.Error("stream of a reclaimed engine ended with [DONE]")
	}
	if err := <-ended; !errors.Is(err, ErrKilled) {
		t.Errorf("Run returned %v", err)
	}
}

func TestServerStallsAndResumes(t *testing.T) {
	s := &Server{}
	url, _ := startServer(t, s)
	s.Stall(true)
	resp := post(t, url+"/v1/completions", `{"model":"m","prompt":"p","stand_in_length":30,"stream":true}`)
	if _, ok := s.step(time.Now()); ok {
		t.Error("stalled engine made a step")
	}
	s.Stall(false)
	if texts, _, done := readStream(resp.Body); !done || len(texts) != 30 {
		t.Errorf("%d tokens, done %v", len(texts), done)
	}
}

func TestServerCancelsOnClose(t *testing.T) {
	s := &Server{}
	url, _ := startServer(t, s)
	resp := post(t, url+"/v1/completions", `{"model":"m","prompt":"p","stand_in_length":50000,"stream":true}`)
	resp.Body.Close()
	deadline := time.Now().Add(waitTimeout)
	for {
		s.mu.Lock()
		idle := s.engine.Idle()
		s.mu.Unlock()
		if idle {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("request still running after its connection was closed")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestServerFinishesRequestsOnStop(t *testing.T) {
	s := &Server{Listen: "127.0.0.1:0", Models: []Model{{Model: "m"}}, Parameters: DefaultParameters()}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	resp := post(t, "http://"+s.Address(ctx)+"/v1/completions", `{"model":"m","prompt":"p","stand_in_length":10,"stream":true}`)
	cancel()
	if texts, _, done := readStream(resp.Body); !done || len(texts) != 10 {
		t.Errorf("%d tokens, done %v", len(texts), done)
	}
	resp.Body.Close()
	if err := <-ended; err != nil {
		t.Errorf("Run returned %v", err)
	}
}

func TestServerAnnounces(t *testing.T) {
	got := make(chan announcement, 10)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a announcement
		if json.NewDecoder(r.Body).Decode(&a) == nil && r.URL.Path == "/v1/announce" {
			got <- a
		}
	}))
	defer agent.Close()
	s := &Server{Announce: strings.TrimPrefix(agent.URL, "http://"), ChecksFences: true}
	startServer(t, s)
	a := <-got
	want := announcement{Kind: "engine", Address: s.addr, Models: []Model{{Model: "m"}}, MemoryTokens: 60_000, ChecksFences: true}
	if diff := cmp.Diff(want, a); diff != "" {
		t.Errorf("announcement differs (-want +got):\n%s", diff)
	}
}

func TestServerLoadAndCacheEvents(t *testing.T) {
	url, _ := startServer(t, &Server{})
	body := `{"model":"m","prompt":"` + strings.Repeat("w ", 40) + `","stand_in_length":300}`
	if cached := post(t, url+"/v1/completions", body).Header.Get("X-Cached-Tokens"); cached != "0" {
		t.Errorf("cached %s at first", cached)
	}
	if cached := post(t, url+"/v1/completions", body).Header.Get("X-Cached-Tokens"); cached != "32" {
		t.Errorf("cached %s the second time", cached)
	}
	resp, err := http.Get(url + "/v1/load")
	if err != nil {
		t.Fatal(err)
	}
	var l loadResponse
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil || l.MemoryTokensTotal != 60_000 || l.ReportedAt == 0 {
		t.Errorf("load %+v, %v", l, err)
	}
	resp.Body.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/cacheEvents", nil)
	events, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer events.Body.Close()
	lines := bufio.NewScanner(events.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			var ev cacheEventMessage
			if err := json.Unmarshal([]byte(data), &ev); err != nil || len(ev.Stored) != 2 {
				t.Errorf("event %q: %v", data, err)
			}
			return
		}
	}
	t.Error("no cache event")
}

func TestServerListenFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Server{Listen: ln.Addr().String(), Parameters: DefaultParameters()}
	if err := s.Run(context.Background()); err == nil {
		t.Error("Run with a taken address returned no error")
	}
}
