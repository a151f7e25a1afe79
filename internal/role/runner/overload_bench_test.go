package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenareach/internal/engine/emulator"
)

const (
	overloadSpan = 10 * time.Second
	// overloadDeadline is how long a request may wait for admission.
	overloadDeadline = 2 * time.Second
)

// BenchmarkOverload offers 1, 2 and 5 times the capacity of two engines to a whole
// system in one process: control, entry, agents and stand-in engines. It reports
// goodput: tokens of complete answers per second.
func BenchmarkOverload(b *testing.B) {
	for _, factor := range []float64{1, 2, 5} {
		b.Run(fmt.Sprintf("load=%.0f", factor), func(b *testing.B) {
			for b.Loop() {
				overload(b, factor)
			}
		})
	}
}

// overloadLength draws the length of an answer: one in five is long.
func overloadLength(r *rand.Rand) int {
	if r.IntN(5) == 0 {
		return 60 + r.IntN(60)
	}
	return 10 + r.IntN(20)
}

func overload(b *testing.B, factor float64) {
	const (
		meanLength = 0.8*19.5 + 0.2*89.5
		batch      = 16
	)
	parameters := emulator.DefaultParameters()
	parameters.MaxBatch, parameters.MemoryTokens = batch, 6000
	parameters.LoadLag = 250 * time.Millisecond
	s := &Standalone{
		Host: testHost(9), BasePort: testBasePort, DataFolder: b.TempDir(),
		Entries: 1, Engines: 2, Parameters: parameters, RequestTimeout: overloadDeadline,
	}
	s.Prepare()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	for warm := 0; warm < 20; {
		if status, _, _ := generate(client, s.EntryAddress(0), 20); status == http.StatusOK {
			warm++
		}
		time.Sleep(10 * time.Millisecond)
	}
	// A full batch generates one token for each request in a step.
	step := parameters.StepBase + batch*parameters.StepPerSequence
	capacity := 2 * batch / step.Seconds()
	gap := time.Duration(meanLength / (factor * capacity) * float64(time.Second))
	r := rand.New(rand.NewPCG(11, 5))
	var whole, tokens, refused, failed atomic.Int64
	var mu sync.Mutex
	var firstTokenTimes []time.Duration
	var g errgroup.Group
	begun := time.Now()
	measureFrom := begun.Add(overloadSpan / 5)
	end := begun.Add(overloadSpan)
	for at := begun; at.Before(end); at = at.Add(gap) {
		time.Sleep(time.Until(at))
		n := overloadLength(r)
		g.Go(func() error {
			status, got, first := generate(client, s.EntryAddress(0), n)
			now := time.Now()
			switch {
			case status == http.StatusOK && got == n:
				if now.After(measureFrom) && now.Before(end) {
					whole.Add(1)
					tokens.Add(int64(n))
				}
				mu.Lock()
				firstTokenTimes = append(firstTokenTimes, first)
				mu.Unlock()
			case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
				refused.Add(1)
			default:
				failed.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait()
	stop()
	if err := <-done; err != nil {
		b.Error(err)
	}
	client.CloseIdleConnections()
	slices.Sort(firstTokenTimes)
	span := (overloadSpan * 4 / 5).Seconds()
	b.ReportMetric(float64(tokens.Load())/span, "goodtokens/s")
	b.ReportMetric(float64(whole.Load())/span, "answers/s")
	b.ReportMetric(capacity, "capacity")
	b.ReportMetric(float64(refused.Load()), "refused")
	b.ReportMetric(float64(failed.Load()), "failed")
	if len(firstTokenTimes) > 0 {
		b.ReportMetric(firstTokenTimes[len(firstTokenTimes)*95/100].Seconds()*1000, "p95first-ms")
	}
}

// generate requests a stream of n tokens and returns the status, the number of tokens
// if the answer is complete, and the time to the first token.
func generate(client *http.Client, address string, n int) (status, tokens int, first time.Duration) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"Draft a rota"}],"stand_in_length":%d}`, DemoModel, n)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, 0
	}
	req.Header.Set("Authorization", "Bearer "+DemoKey)
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, 0, 0
	}
	events := newEventReader(resp.Body)
	for {
		ev, ok := events.next()
		if !ok || ev.name == "incomplete" {
			return resp.StatusCode, 0, 0
		}
		if ev.name == "end" {
			return resp.StatusCode, tokens, first
		}
		if ev.id != "" && json.Valid([]byte(ev.data)) {
			if tokens == 0 {
				first = time.Since(begun)
			}
			tokens++
		}
	}
}
