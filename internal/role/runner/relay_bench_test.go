package runner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenareach/internal/engine/emulator"
)

const (
	benchStreams = 64
	benchTokens  = 200
	benchStep    = 10 * time.Millisecond
)

// BenchmarkRelay compares, in one run, what a token costs in processor time and
// how late the first token comes: at the engine directly, through
// httputil.ReverseProxy, and through an entry and an agent. The cost includes
// caller and engine; the difference to direct is what the way between costs.
func BenchmarkRelay(b *testing.B) {
	for _, way := range startWays(b, benchStep) {
		b.Run(way.name, func(b *testing.B) { benchmarkWay(b, way, benchStreams, benchTokens) })
	}
}

// BenchmarkRelayTogether is BenchmarkRelay at an engine so fast that tokens
// arrive together.
func BenchmarkRelayTogether(b *testing.B) {
	for _, way := range startWays(b, 20*time.Microsecond) {
		b.Run(way.name, func(b *testing.B) { benchmarkWay(b, way, 8, 5000) })
	}
}

// BenchmarkFirstToken compares the time to the first token of one request at a
// time, at an engine with steps of a millisecond.
func BenchmarkFirstToken(b *testing.B) {
	for _, way := range startWays(b, time.Millisecond) {
		b.Run(way.name, func(b *testing.B) {
			var firsts []time.Duration
			for b.Loop() {
				first, n, err := readStream(way.client, way.address, 1)
				if err != nil || n != 1 {
					b.Fatalf("%d tokens, %v", n, err)
				}
				firsts = append(firsts, first)
			}
			reportFirsts(b, firsts)
		})
	}
}

// benchWay is one way to the same engine.
type benchWay struct {
	name, address string
	client        *http.Client
}

// startWays runs a system with one engine, and a reverse proxy beside it.
func startWays(b *testing.B, step time.Duration) []benchWay {
	parameters := emulator.DefaultParameters()
	parameters.StepBase, parameters.StepPerSequence, parameters.StepPerKiloToken = step, 0, 0
	parameters.MemoryTokens = 1 << 20
	s := &Standalone{
		Host: testHost(3), BasePort: testBasePort, DataFolder: b.TempDir(),
		Entries: 1, Engines: 1, Services: 1, Parameters: parameters,
	}
	s.Prepare()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	b.Cleanup(func() { stop(); <-done })
	engine := s.Engine(0).Address(ctx)
	proxy := startProxy(b, engine)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
	for awaitToken(client, s.EntryAddress(0)) != nil {
		time.Sleep(20 * time.Millisecond)
	}
	return []benchWay{
		{"direct", engine, client}, {"reverseProxy", proxy, client}, {"entryAndAgent", s.EntryAddress(0), client},
	}
}

func benchmarkWay(b *testing.B, way benchWay, streams, length int) {
	var mu sync.Mutex
	var firsts []time.Duration
	tokens := 0
	before := processorTime()
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				first, n, err := readStream(way.client, way.address, length)
				mu.Lock()
				defer mu.Unlock()
				if err != nil || n != length {
					b.Errorf("%d tokens, %v", n, err)
				}
				tokens += n
				firsts = append(firsts, first)
			})
		}
		wg.Wait()
	}
	used := processorTime() - before
	b.ReportMetric(float64(used.Microseconds())/float64(tokens), "cpu-µs/token")
	reportFirsts(b, firsts)
}

func reportFirsts(b *testing.B, firsts []time.Duration) {
	slices.Sort(firsts)
	b.ReportMetric(float64(firsts[len(firsts)/2].Microseconds())/1000, "first-ms/p50")
	b.ReportMetric(float64(firsts[len(firsts)*95/100].Microseconds())/1000, "first-ms/p95")
}

func awaitToken(client *http.Client, address string) error {
	_, n, err := readStream(client, address, 1)
	if err == nil && n == 0 {
		return io.EOF
	}
	return err
}

// readStream reads one stream and returns when its first token came and how many.
func readStream(client *http.Client, address string, tokens int) (first time.Duration, n int, err error) {
	body := fmt.Sprintf(`{"model":"rota-large","stream":true,"seed":7,"max_tokens":%d,"messages":[{"role":"user","content":"x"}],"stand_in_length":%d}`, tokens, tokens)
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	r.Header.Set("Authorization", "Bearer "+DemoKey)
	began := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	marker := []byte(`"finish_reason":null`)
	for lines.Scan() {
		if n == 0 {
			first = time.Since(began)
		}
		if bytes.Contains(lines.Bytes(), marker) {
			n++
		}
	}
	return first, n, lines.Err()
}

func startProxy(b *testing.B, engine string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: engine})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: benchStreams}
	server := &http.Server{Handler: proxy}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
