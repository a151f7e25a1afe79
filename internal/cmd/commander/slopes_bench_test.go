package commander

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenareach/internal/role/runner"
)

const (
	// clockTicks is the unit of the processor time in /proc, ticks a second.
	clockTicks    = 100
	slopeWindow   = 10 * time.Second
	slopeLength   = 100_000
	warmUpTime    = 3 * time.Second
	bytesPerKByte = 1024
)

// processUsage is the CPU time and memory that a process has used so far.
type processUsage struct {
	cpuTime time.Duration
	// resident is in bytes.
	resident int64
}

func (f *fleet) usage(name string) processUsage {
	f.t.Helper()
	pid := f.processes[name].Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		f.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u := processUsage{cpuTime: time.Duration(user+system) * time.Second / clockTicks}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		f.t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(status), "VmRSS:")
	kilobytes, _ := strconv.ParseInt(strings.Fields(line)[0], 10, 64)
	u.resident = kilobytes * bytesPerKByte
	return u
}

// BenchmarkRoleSlopes measures the CPU time and memory of an entry, an agent and a
// control host, as processes, at several numbers of running streams; 0 streams shows
// an idle process. It also reports the tokens that the callers received.
func BenchmarkRoleSlopes(b *testing.B) {
	f := startFleet(b, 40*time.Millisecond)
	for _, streams := range []int{0, 50, 100, 200} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				f.measureSlopes(b, streams)
			}
		})
	}
}

func (f *fleet) measureSlopes(b *testing.B, streams int) {
	var wg sync.WaitGroup
	open := make([]*callerStream, streams)
	for i := range open {
		open[i] = f.openSlow()
		wg.Go(func() { open[i].readUntilClosed() })
	}
	time.Sleep(warmUpTime)
	names := []string{"entry-0", "engine-0", "control-0"}
	before := make([]processUsage, len(names))
	for i, name := range names {
		before[i] = f.usage(name)
	}
	time.Sleep(slopeWindow)
	for i, name := range names {
		after := f.usage(name)
		role, _, _ := strings.Cut(name, "-")
		b.ReportMetric(float64((after.cpuTime-before[i].cpuTime).Microseconds())/slopeWindow.Seconds()/1e4, role+"-core-%")
		b.ReportMetric(float64(after.resident)/(1<<20), role+"-MB")
	}
	tokens := 0
	for _, r := range open {
		_ = r.resp.Body.Close()
	}
	wg.Wait()
	for _, r := range open {
		tokens += r.count
	}
	b.ReportMetric(float64(tokens)/(slopeWindow+warmUpTime).Seconds(), "tokens/s")
}

// openSlow starts a generation that outlasts the measurement.
func (f *fleet) openSlow() *callerStream {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":"%s","stream":true,"messages":[{"role":"user","content":"Draft a rota"}],"max_tokens":%d,"stand_in_length":%d}`, runner.DemoModel, slopeLength, slopeLength)
	r := &callerStream{f: f}
	r.attach(f.request(0, http.MethodPost, "/v1/chat/completions", "", body))
	return r
}

// readUntilClosed counts events. It parses nothing, to use little CPU time.
func (r *callerStream) readUntilClosed() {
	for r.lines.Scan() {
		if strings.HasPrefix(r.lines.Text(), "id: ") {
			r.count++
		}
	}
}
