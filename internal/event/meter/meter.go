// Package meter exposes the metrics of a process in the Prometheus text format.
package meter

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"verbenareach/internal/event/logger"
)

const (
	// reportInterval is how often the values at /metrics are updated.
	reportInterval = time.Second
	// prefix is the prefix of each metric's name.
	prefix = "verbenareach"

	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request; net/http allows a little more.
	maxHeaderBytes = 8 << 10
)

// Meter holds the metrics of one process. Their cardinality is bounded: no label
// holds a workspace; the burn report covers workspaces. A nil Meter counts nothing.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter tallyprom.Reporter
	// events are the counters by event number.
	events map[int]tally.Counter

	tokens     tally.Counter
	firstToken tally.Histogram
	gap        tally.Histogram
	pauseRatio tally.Histogram
}

// New returns the meter of a process. Close it after use.
func New(role, process string) (*Meter, error) {
	registry := prom.NewRegistry()
	for _, c := range []prom.Collector{collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})} {
		if err := registry.Register(c); err != nil {
			return nil, eris.Wrap(err, "metrics")
		}
	}
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
		// Without this the library panics; a metric that can't be registered is left out.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, Tags: map[string]string{"role": role, "process": process},
		CachedReporter: reporter, Separator: tallyprom.DefaultSeparator, SanitizeOptions: sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Meter{scope: scope, closer: closer, reporter: reporter, events: make(map[int]tally.Counter)}
	for _, ev := range logger.Catalogue() {
		m.events[ev.Number] = scope.Tagged(map[string]string{"event": ev.Code()}).Counter("events_total")
	}
	m.tokens = scope.Counter("tokens_total")
	m.firstToken = scope.Histogram("first_token_seconds", firstTokenBuckets())
	m.gap = scope.Histogram("between_tokens_seconds", gapBuckets())
	m.pauseRatio = scope.Histogram("longest_pause_to_forecast", pauseRatioBuckets())
	return m, nil
}

// Close stops the updates of /metrics.
func (m *Meter) Close() error {
	if m == nil {
		return nil
	}
	return m.closer.Close()
}

// Count counts one event. It is meant for Logger.Count.
func (m *Meter) Count(ev logger.Event) {
	if m == nil {
		return
	}
	if c, ok := m.events[ev.Number]; ok {
		c.Inc(1)
	}
}

// Evacuation records the time from the order to evacuate a failure domain, or to end that, to its
// acknowledgement.
func (m *Meter) Evacuation(d time.Duration) {
	if m != nil {
		m.scope.Histogram("evacuation_acknowledged_seconds", firstTokenBuckets()).RecordDuration(d)
	}
}

// FirstToken records the time from a request's arrival to its first token.
func (m *Meter) FirstToken(d time.Duration) {
	if m != nil {
		m.firstToken.RecordDuration(d)
	}
}

// Gap records the time between two deliveries of tokens to one caller.
func (m *Meter) Gap(d time.Duration) {
	if m != nil {
		m.gap.RecordDuration(d)
	}
}

// Gauge returns the gauge with the given name, such as "running_generations".
func (m *Meter) Gauge(name string) tally.Gauge {
	if m == nil {
		return tally.NoopScope.Gauge(name)
	}
	return m.scope.Gauge(name)
}

// LinkUp records how long a link to another host was up, at its end.
func (m *Meter) LinkUp(d time.Duration) {
	if m != nil {
		m.scope.Histogram("link_up_seconds", firstTokenBuckets()).RecordDuration(d)
	}
}

// Pause records the longest pause of a whole generation beside what was forecast, if anything was.
func (m *Meter) Pause(forecast, longest time.Duration) {
	if m != nil && forecast > 0 {
		m.pauseRatio.RecordValue(float64(longest) / float64(forecast))
	}
}

// Request records the time from a request's arrival to the end of its response, by the
// kind of its route and its outcome.
func (m *Meter) Request(kind, outcome string, d time.Duration) {
	if m == nil {
		return
	}
	tags := map[string]string{"kind": kind, "outcome": outcome}
	m.scope.Tagged(tags).Histogram("request_seconds", firstTokenBuckets()).RecordDuration(d)
}

// Sent counts bytes sent over the links to other hosts, by the kind of their content and by whether
// they stay in the region: near or far.
func (m *Meter) Sent(kind, region string, n int64) {
	if m != nil {
		m.scope.Tagged(map[string]string{"kind": kind, "region": region}).Counter("link_bytes_total").Inc(n)
	}
}

// Tokens counts tokens delivered to callers.
func (m *Meter) Tokens(n int) {
	if m != nil {
		m.tokens.Inc(int64(n))
	}
}

// Serve serves GET /metrics on l until ctx is done, and closes l.
func (m *Meter) Serve(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.reporter.HTTPHandler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() {
		// A scrape that is interrupted here is repeated at the next scrape interval.
		_ = server.Close()
	})
	defer stop()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve metrics")
}

// firstTokenBuckets returns buckets that double from 5 ms to 82 s.
func firstTokenBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 15)
}

// gapBuckets returns buckets that double from 1 ms to 16 s.
func gapBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
}

// pauseRatioBuckets returns buckets of ratios, close together about 1.
func pauseRatioBuckets() tally.Buckets {
	return tally.ValueBuckets{0.25, 0.5, 0.7, 0.8, 0.9, 1, 1.1, 1.2, 1.35, 1.5, 2, 4, 8}
}

// sanitizeOptions allows hyphens in label values, since the names of processes contain them.
func sanitizeOptions() *tally.SanitizeOptions {
	options := tallyprom.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashDotCharacters,
	}
	return &options
}
