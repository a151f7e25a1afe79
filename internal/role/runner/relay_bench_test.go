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

// BenchmarkRelay compares, in one run, the CPU time per token and the time to the
// first token: at the engine directly, through httputil.ReverseProxy, and through an
// entry and an agent. The CPU time includes caller and engine; the difference to
// direct is the cost of the path between them.
func BenchmarkRelay(b *testing.B) {
	for _, path := range startPaths(b, benchStep) {
		b.Run(path.name, func(b *testing.B) { benchmarkPath(b, path, benchStreams, benchTokens) })
	}
}

// BenchmarkRelayTogether is BenchmarkRelay with an engine so fast that several tokens
// arrive at once.
func BenchmarkRelayTogether(b *testing.B) {
	for _, path := range startPaths(b, 20*time.Microsecond) {
		b.Run(path.name, func(b *testing.B) { benchmarkPath(b, path, 8, 5000) })
	}
}

// BenchmarkFirstToken compares the time to the first token of sequential requests,
// with an engine whose steps take one millisecond.
func BenchmarkFirstToken(b *testing.B) {
	for _, path := range startPaths(b, time.Millisecond) {
		b.Run(path.name, func(b *testing.B) {
			var firsts []time.Duration
			for b.Loop() {
				first, n, err := readStream(path.client, path.address, 1)
				if err != nil || n != 1 {
					b.Fatalf("%d tokens, %v", n, err)
				}
				firsts = append(firsts, first)
			}
			reportFirstTokens(b, firsts)
		})
	}
}

// benchPath is one path from the caller to the same engine.
type benchPath struct {
	name, address string
	client        *http.Client
}

// startPaths runs a system with one engine, and a reverse proxy to that engine.
func startPaths(b *testing.B, step time.Duration) []benchPath {
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
	return []benchPath{
		{"direct", engine, client}, {"reverseProxy", proxy, client}, {"entryAndAgent", s.EntryAddress(0), client},
	}
}

func benchmarkPath(b *testing.B, path benchPath, streams, length int) {
	var mu sync.Mutex
	var firsts []time.Duration
	tokens := 0
	before := cpuTime()
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				first, n, err := readStream(path.client, path.address, length)
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
	used := cpuTime() - before
	b.ReportMetric(float64(used.Microseconds())/float64(tokens), "cpu-µs/token")
	reportFirstTokens(b, firsts)
}

func reportFirstTokens(b *testing.B, firstTokenTimes []time.Duration) {
	slices.Sort(firstTokenTimes)
	b.ReportMetric(float64(firstTokenTimes[len(firstTokenTimes)/2].Microseconds())/1000, "first-ms/p50")
	b.ReportMetric(float64(firstTokenTimes[len(firstTokenTimes)*95/100].Microseconds())/1000, "first-ms/p95")
}

func awaitToken(client *http.Client, address string) error {
	_, n, err := readStream(client, address, 1)
	if err == nil && n == 0 {
		return io.EOF
	}
	return err
}

// readStream reads one stream and returns the time to its first token and its number
// of tokens.
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

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
