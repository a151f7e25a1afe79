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
	settleTime    = 3 * time.Second
	bytesPerKByte = 1024
)

// usageOf is what a process used so far.
type usageOf struct {
	processor time.Duration
	// resident is in bytes.
	resident int64
}

func (f *fleet) usage(name string) usageOf {
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
	u := usageOf{processor: time.Duration(user+system) * time.Second / clockTicks}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		f.t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(status), "VmRSS:")
	kilobytes, _ := strconv.ParseInt(strings.Fields(line)[0], 10, 64)
	u.resident = kilobytes * bytesPerKByte
	return u
}

// BenchmarkRoleSlopes measures the processor time and memory of an entry, an
// agent and a control host, as processes, at several numbers of running streams;
// 0 streams shows what an idle process spends. It counts what the callers got.
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
	readings := make([]*reading, streams)
	for i := range readings {
		readings[i] = f.openSlow()
		wg.Go(func() { readings[i].readUntilClosed() })
	}
	time.Sleep(settleTime)
	names := []string{"entry-0", "engine-0", "control-0"}
	before := make([]usageOf, len(names))
	for i, name := range names {
		before[i] = f.usage(name)
	}
	time.Sleep(slopeWindow)
	for i, name := range names {
		after := f.usage(name)
		role, _, _ := strings.Cut(name, "-")
		b.ReportMetric(float64((after.processor-before[i].processor).Microseconds())/slopeWindow.Seconds()/1e4, role+"-core-%")
		b.ReportMetric(float64(after.resident)/(1<<20), role+"-MB")
	}
	tokens := 0
	for _, r := range readings {
		_ = r.resp.Body.Close()
	}
	wg.Wait()
	for _, r := range readings {
		tokens += r.count
	}
	b.ReportMetric(float64(tokens)/(slopeWindow+settleTime).Seconds(), "tokens/s")
}

// openSlow begins a generation that outlasts the measurement.
func (f *fleet) openSlow() *reading {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":"%s","stream":true,"messages":[{"role":"user","content":"Draft a rota"}],"max_tokens":%d,"stand_in_length":%d}`, runner.DemoModel, slopeLength, slopeLength)
	r := &reading{f: f}
	r.attach(f.request(0, http.MethodPost, "/v1/chat/completions", "", body))
	return r
}

// readUntilClosed counts events as cheaply as it can.
func (r *reading) readUntilClosed() {
	for r.lines.Scan() {
		if strings.HasPrefix(r.lines.Text(), "id: ") {
			r.count++
		}
	}
}
