package explainer

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

var start = time.Date(2026, 12, 4, 6, 30, 0, 0, time.UTC)

func record(after time.Duration, ev logger.Event, subject string, fields ...logger.Field) logger.Record {
	return logger.Record{At: start.Add(after), Event: ev, Subject: subject, Fields: fields}
}

func TestMergeTwoProcesses(t *testing.T) {
	entry := &Keeper{Process: "entry-riga-a", Role: "entry", Since: start}
	agent := &Keeper{Process: "engine-riga-a", Role: "agent", Since: start}
	entry.Keep(record(0, logger.GenerationRouted, "g1", logger.F("server", "engine-riga-a"), logger.F("why", "prefix cached")))
	agent.Keep(record(time.Millisecond, logger.WorkAdmitted, "g1", logger.F("memoryTokensUsed", uint64(1200))))
	entry.Keep(record(2*time.Millisecond, logger.GenerationStarted, "g1", logger.F("firstToken", 180*time.Millisecond)))
	entry.Keep(record(3*time.Millisecond, logger.RequestRefused, "g2"))
	entry.Keep(record(4*time.Second, logger.GenerationEnded, "g1"))
	now := start.Add(5 * time.Second)
	replies := []*messenger.ExplainReply{entry.Explain(now, "g1"), agent.Explain(now, "g1")}
	timeline := Merge("g1", replies, []string{"engine-riga-b"})
	var out bytes.Buffer
	if err := timeline.Print(&out); err != nil {
		t.Fatal(err)
	}
	want := `g1, 2026-12-04 06:30:00.000 UTC

AFTER  PROCESS        EVENT   WHAT HAPPENED
0s     entry-riga-a   VR2201  generation sent to a backend server: server engine-riga-a, why prefix cached
1ms    engine-riga-a  VR3201  generation admitted at the backend server: memory tokens used 1200
2ms    entry-riga-a   VR2203  generation admitted: first token 180ms
4s     entry-riga-a   VR2204  generation delivered completely

The generation was delivered whole.
1 of 3 processes did not answer: engine-riga-b.
Asked 3 processes; their records go back to 06:30:00 UTC.
`
	if out.String() != want {
		t.Errorf("printed:\n%s\nwant:\n%s", &out, want)
	}
	out.Reset()
	if err := Merge("g9", replies[:0], nil).Print(&out); err != nil || !strings.HasPrefix(out.String(), "Nothing is known of g9.") {
		t.Errorf("%v, printed %q", err, &out)
	}
}

func TestKeeperDropsExpiredRecords(t *testing.T) {
	k := &Keeper{}
	k.Keep(record(0, logger.GenerationRouted, "old"))
	k.Keep(record(50*time.Minute, logger.GenerationRouted, "new"))
	if n := len(k.Explain(start.Add(time.Hour), "old").GetRecords()); n != 1 {
		t.Errorf("%d records after exactly an hour, want 1", n)
	}
	if n := len(k.Explain(start.Add(61*time.Minute), "old").GetRecords()); n != 0 {
		t.Errorf("%d records after more than an hour", n)
	}
	reply := k.Explain(start.Add(70*time.Minute), "new")
	if len(reply.GetRecords()) != 1 || reply.GetKeptSince() != start.Add(10*time.Minute).UnixNano() {
		t.Errorf("%d records, kept since %v", len(reply.GetRecords()), time.Unix(0, reply.GetKeptSince()).UTC())
	}
}

func TestKeeperIsBounded(t *testing.T) {
	const limit = 64 << 10
	k := &Keeper{MaxBytes: limit}
	for i := range 5000 {
		k.Keep(record(time.Duration(i)*time.Second/10, logger.GenerationRouted, fmt.Sprint(i), logger.F("server", strings.Repeat("x", 1000))))
		if k.bytes > limit {
			t.Fatalf("%d bytes after %d records", k.bytes, i)
		}
	}
	if n := len(k.Explain(start.Add(500*time.Second), "4999").GetRecords()); n != 1 {
		t.Errorf("the newest history has %d records", n)
	}
	if reply := k.Explain(start.Add(500*time.Second), "0"); len(reply.GetRecords()) != 0 || reply.GetKeptSince() <= start.UnixNano() {
		t.Errorf("the oldest history has %d records, kept since %v", len(reply.GetRecords()), time.Unix(0, reply.GetKeptSince()))
	}
	sum := 0
	for _, e := range k.histories {
		sum += e.Value.(*history).bytes()
	}
	if sum != k.bytes {
		t.Errorf("counted %d bytes, histories have %d", k.bytes, sum)
	}
}

// TestLongHistoryKeepsHeadAndTail writes more than one history may hold: its first and
// last records must be kept, and the number of dropped records must be correct.
func TestLongHistoryKeepsHeadAndTail(t *testing.T) {
	k := &Keeper{}
	const n = 2000
	k.Keep(record(0, logger.GenerationStarted, "g"))
	for i := range n {
		k.Keep(record(time.Duration(i)*time.Millisecond, logger.TokenDropped, "g", logger.F("index", i)))
	}
	k.Keep(record(n*time.Millisecond, logger.GenerationEnded, "g"))
	reply := k.Explain(start, "g")
	records := reply.GetRecords()
	first, last := records[0], records[len(records)-1]
	if first.GetNumber() != uint32(logger.GenerationStarted.Number) || last.GetNumber() != uint32(logger.GenerationEnded.Number) {
		t.Errorf("first %v, last %v", first, last)
	}
	if got := len(records) + int(reply.GetDropped()); got != n+2 {
		t.Errorf("%d kept and %d dropped, want %d together", len(records), reply.GetDropped(), n+2)
	}
	if k.bytes > headBytes+4*tailBytes {
		t.Errorf("the history takes %d bytes", k.bytes)
	}
}

// TestHugeRecord keeps a record that exceeds a history's size limit: it must be truncated,
// without the loss of the other records.
func TestHugeRecord(t *testing.T) {
	k := &Keeper{}
	var fields []logger.Field
	for i := range 100 {
		fields = append(fields, logger.F(fmt.Sprint("k", i), strings.Repeat("ā\xff", 1000)))
	}
	k.Keep(record(0, logger.CallSent, "c"))
	k.Keep(record(1, logger.CallRetried, "c", fields...))
	k.Keep(record(2, logger.CallAnswered, "c", fields...))
	reply := k.Explain(start, "c")
	if len(reply.GetRecords())+int(reply.GetDropped()) != 3 || len(reply.GetRecords()) < 2 {
		t.Errorf("%d records, %d dropped", len(reply.GetRecords()), reply.GetDropped())
	}
	last := reply.GetRecords()[len(reply.GetRecords())-1]
	if last.GetNumber() != uint32(logger.CallAnswered.Number) || len(last.GetFields()) != maxFields {
		t.Errorf("last record %v", last)
	}
	if _, err := proto.Marshal(reply); err != nil {
		t.Error(err)
	}
}

func TestRecordsAreReturnedAsKept(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MaxSize = maxFields
	properties := gopter.NewProperties(parameters)
	properties.Property("fields and times are returned unchanged", prop.ForAll(func(keys, values []string, micros int64) bool {
		k := &Keeper{}
		var fields []logger.Field
		for i := range min(len(keys), len(values)) {
			fields = append(fields, logger.F(keys[i], values[i]))
		}
		k.Keep(record(0, logger.CallSent, "c"))
		k.Keep(record(time.Duration(micros)*time.Microsecond, logger.CallAnswered, "c", fields...))
		rec := k.Explain(start, "c").GetRecords()[1]
		if rec.GetAt() != start.Add(time.Duration(micros)*time.Microsecond).UnixNano() || len(rec.GetFields()) != len(fields) {
			return false
		}
		for i, f := range rec.GetFields() {
			if f.GetKey() != keys[i] || f.GetValue() != formatValue(values[i]) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.AnyString()), gen.SliceOf(gen.AnyString()), gen.Int64Range(-1e6, 3.6e9)))
	properties.TestingRun(t)
}

// BenchmarkKeep measures the time for one record and the size of a generation's history of six records.
func BenchmarkKeep(b *testing.B) {
	k := &Keeper{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k.Keep(record(time.Duration(i)*time.Millisecond, logger.GenerationRouted, fmt.Sprint("gen-0123456789abcdef-", i/6),
			logger.F("server", "engine-riga-a"), logger.F("epoch", 1), logger.F("candidates", 4)))
	}
	b.ReportMetric(float64(k.bytes)/float64(len(k.histories)), "B/story")
}

// BenchmarkStoryBytes reports the heap use of each history of six records and
// the bytes that the memory limit counts for it.
func BenchmarkStoryBytes(b *testing.B) {
	for _, n := range []int{1000, 10000, 40000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				k := &Keeper{MaxBytes: 1 << 30}
				for i := range 6 * n {
					k.Keep(record(time.Duration(i)*time.Millisecond, logger.GenerationRouted, fmt.Sprint("gen-0123456789abcdef-", i%n),
						logger.F("server", "engine-riga-a"), logger.F("epoch", 1), logger.F("candidates", 4)))
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "heapB/story")
				b.ReportMetric(float64(k.bytes)/float64(n), "countedB/story")
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
