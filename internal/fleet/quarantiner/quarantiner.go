// Package quarantiner finds out which parts of prompts and which whole requests crash backend
// servers, and keeps requests with such a part away from them. It learns from requests whose backend
// server ended while it ran them or began to answer, and from those that it answered. The hosts of a
// fleet exchange both, so that each of them decides from what all have seen. The package does no I/O.
//
// All equal requests share one part, which is the whole request: see WholeRequest.
package quarantiner

import (
	"strings"
	"sync"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// Quarantiner holds what one host knows of the parts of prompts. Its exported fields are set
	// before first use; it is safe for concurrent use.
	Quarantiner struct {
		// Publish passes what is new here on to the other hosts, except the named one. It is called
		// without the lock.
		Publish func(except string, report *messenger.CrashReport)
		// Relay is set if reports of other hosts are passed on as well.
		Relay bool
		// MayProbe reports whether this host may send a request with a part whose quarantine is over.
		MayProbe func() bool
		// OnQuarantine is called, without the lock, after requests that were admitted may have
		// become refused.
		OnQuarantine func(now time.Time)
		// OnChange is called, without the lock, after Report may return something else.
		OnChange func()
		Log      *logger.Logger

		mu      sync.Mutex
		history history
		// probes holds the requests that probe parts whose quarantine is over, by part.
		probes map[string]probe
		// quarantined holds the parts that were logged as quarantined.
		quarantined map[string]bool
	}

	// Decision is the decision on a request.
	Decision struct {
		// Part is the id of the part for which the request is refused; "" if it is admitted.
		Part string
		// RetryAfter is the time after which the request may be admitted.
		RetryAfter time.Duration
	}

	// Beginning is a request that was not beyond the beginning of its answer when its backend
	// server ended.
	Beginning struct {
		Run string
		// Parts holds the ids of its parts that other requests may share.
		Parts []string
		// Begun is set if its response had begun.
		Begun bool
	}

	// probe is a request that probes a part whose quarantine is over.
	probe struct {
		run   string
		until time.Time
	}
)

const (
	// probeTimeout is how long no other request probes a part after one was admitted to.
	probeTimeout = 30 * time.Second
	// probeRetryAfter is the retry delay of requests that wait for the outcome of another one's probe.
	probeRetryAfter = probeTimeout
	// wholePrefix begins the id of a part that is a whole request.
	wholePrefix = "request:"
)

// WholeRequest returns the id of the part that all requests with a fingerprint share.
func WholeRequest(fingerprint string) string { return wholePrefix + fingerprint }

// IsWholeRequest reports whether the part with an id is a whole request.
func IsWholeRequest(id string) bool { return strings.HasPrefix(id, wholePrefix) }

// Admitted reports whether the request may be sent to a backend server.
func (d Decision) Admitted() bool { return d.Part == "" }

// Admit decides whether a request with the given shared parts may be sent to a backend server. On a host
// that may probe, a request is admitted alone once the quarantine of its part is over.
func (q *Quarantiner) Admit(now time.Time, run string, parts []string) Decision {
	return q.decide(now, run, parts, true)
}

// Check decides as Admit does, for a request that was admitted before.
func (q *Quarantiner) Check(now time.Time, run string, parts []string) Decision {
	return q.decide(now, run, parts, false)
}

// RecordCrash records that the process of a backend server ended, at a time, while a request began there.
func (q *Quarantiner) RecordCrash(now, ended time.Time, backend *messenger.Backend, b Beginning) {
	q.Merge(now, "", &messenger.CrashReport{Crashes: []*messenger.EngineCrash{{
		Backend: backend.Id, Started: backend.Started, AgeMs: now.Sub(ended).Milliseconds(),
		Runs: []*messenger.BeginningRun{{Run: b.Run, Parts: b.Parts, Begun: b.Begun}},
	}}})
}

// RecordHealthy records that a request with the given shared parts was answered at a time, or began to
// be answered then and went on.
func (q *Quarantiner) RecordHealthy(now, begun time.Time, parts []string) {
	q.mu.Lock()
	report := &messenger.CrashReport{}
	for _, id := range parts {
		if q.history.recordHealthy(now, begun, id) {
			report.HealthyParts = append(report.HealthyParts, q.history.healthyPart(now, id))
		}
	}
	if len(report.HealthyParts) > 0 {
		q.logChanges(now)
	}
	q.mu.Unlock()
	if len(report.HealthyParts) > 0 {
		q.OnChange()
		q.Publish("", report)
	}
}

// Merge records a report of another host; from is its name, "" for this one.
func (q *Quarantiner) Merge(now time.Time, from string, report *messenger.CrashReport) {
	q.mu.Lock()
	news, own := q.history.merge(now, report)
	q.logChanges(now)
	quarantine := len(q.quarantined) > 0 && len(news.Crashes) > 0
	q.mu.Unlock()
	if len(news.Crashes)+len(news.HealthyParts) > 0 {
		q.OnChange()
	}
	if from != "" && !q.Relay {
		news.Reset()
	}
	if len(news.Crashes)+len(news.HealthyParts) > 0 {
		q.Publish(from, news)
	}
	if len(own.HealthyParts) > 0 {
		q.Publish("", own)
	}
	if quarantine {
		q.OnQuarantine(now)
	}
}

// Report returns all that is known here of parts that may crash engines; nil if that is nothing.
func (q *Quarantiner) Report(now time.Time) *messenger.CrashReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.history.report(now)
}

// decide decides on a request; with mayProbe set, it may become a probe.
func (q *Quarantiner) decide(now time.Time, run string, parts []string, mayProbe bool) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range parts {
		until, suspect := q.history.refusedUntil(id, parts)
		if !suspect || q.isProbe(now, run, id) {
			continue
		}
		if now.Before(until) {
			return Decision{Part: id, RetryAfter: until.Sub(now)}
		}
		if !mayProbe || now.Before(q.probes[id].until) || !q.MayProbe() {
			return Decision{Part: id, RetryAfter: probeRetryAfter}
		}
		q.startProbe(now, run, id)
	}
	return Decision{}
}

// isProbe reports whether a request probes a part. The lock is held.
func (q *Quarantiner) isProbe(now time.Time, run, id string) bool {
	p := q.probes[id]
	return p.run == run && now.Before(p.until)
}

// startProbe has a request probe a part. The lock is held.
func (q *Quarantiner) startProbe(now time.Time, run, id string) {
	if q.probes == nil {
		q.probes = make(map[string]probe)
	}
	for other, p := range q.probes {
		if !now.Before(p.until) {
			delete(q.probes, other)
		}
	}
	q.probes[id] = probe{run: run, until: now.Add(probeTimeout)}
	q.Log.Emit(now, logger.PartProbed, run, logger.F("part", id))
}

// logChanges logs the parts that became quarantined or were released. The lock is held.
func (q *Quarantiner) logChanges(now time.Time) {
	if q.quarantined == nil {
		q.quarantined = make(map[string]bool)
	}
	for id := range q.quarantined {
		if _, enough := q.history.evidence(id); !enough {
			delete(q.quarantined, id)
			q.Log.Emit(now, logger.PartReleased, "", logger.F("part", id))
		}
	}
	for id := range q.history.byPart {
		e, enough := q.history.evidence(id)
		if !enough || q.quarantined[id] {
			continue
		}
		q.quarantined[id] = true
		_, alone := q.history.refusedUntil(id, []string{id})
		q.Log.Emit(now, logger.PartQuarantined, "", logger.F("part", id), logger.F("engines", e.engines),
			logger.F("rounds", e.rounds), logger.F("alone", alone), logger.F("for", e.until.Sub(now).Round(time.Second)))
	}
}
