package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// leavingCount is the number of backend servers, of which one leaves.
	leavingCount = 6
	// drainBound is how long after the acknowledgement of its leaving a backend server may still get requests,
	// lingering how long it goes on to serve.
	drainBound, lingering = 2 * time.Second, 6 * time.Second
	// heartbeatsBefore is how many reports the leaving backend server sends at least before it leaves.
	heartbeatsBefore = 4
)

var errDepartureRefused = errors.New("the departure is not acknowledged")

// playDeparture has a backend server leave that does not report draining: it announces its end to another host
// than the one that gets its reports, goes on to serve for some seconds and ends.
func playDeparture(f *fleet, trouble bool) (bool, error) {
	if err := startSmallFleet(f); err != nil {
		return false, err
	}
	var mu sync.Mutex
	reached := make(map[string][]time.Time)
	backends, err := startPlainBackends(f, leavingCount, func(id string, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		reached[id] = append(reached[id], time.Now())
	})
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	wait := swapFromAllHosts(f, stop, func(answer) {})
	time.Sleep(heartbeatsBefore * heartbeat)
	leaver := backends[0]
	acknowledged := time.Now()
	if trouble {
		acknowledged, err = leaver.announceEnd()
	}
	time.Sleep(lingering)
	if trouble {
		leaver.end()
	}
	close(stop)
	wait()
	if err != nil || !trouble {
		return false, err
	}
	late, last := 0, time.Duration(0)
	for _, at := range reached[leaver.id] {
		if after := at.Sub(acknowledged); after > drainBound {
			late++
			last = max(last, after)
		}
	}
	f.record.note("%d requests reached %s later than %v after its departure was acknowledged, the last one %v after it",
		late, leaver.id, drainBound, last.Round(time.Millisecond))
	return late > 0, nil
}

// announceEnd stops the reports and announces the end to a host that did not get them, until one acknowledges it.
func (b *backend) announceEnd() (acknowledged time.Time, err error) {
	close(b.silent)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.fleet.hosts {
		address := b.fleet.address(h, controlPort)
		if address == b.reportTo {
			b.fleet.record.note("%s has sent %d reports, the last ones to %s", b.id, b.sequence, h.name)
			continue
		}
		status, _ := callControl(address, http.MethodDelete, "/instances/"+b.id, "")
		if status/100 == 2 {
			b.fleet.record.note("%s: departure acknowledged by %s", b.id, h.name)
			return time.Now(), nil
		}
	}
	return time.Time{}, errDepartureRefused
}
