package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// lateFleetHosts is the number of hosts, as on the sheet of the installation.
	lateFleetHosts = 7
	// laterCount is the number of backend servers of the service of the later route.
	laterCount = 2
	// reportDelay is by how much a report comes late.
	reportDelay = 3 * time.Second
	// steadyTime is how long after the late reports the requests are sent.
	steadyTime = 10 * time.Second
	// requestsPerHost is the number of requests on each route to each host, and fewestRequests that from which on
	// the rule counts.
	requestsPerHost, fewestRequests = 20, 20
	// servedPart is the part of the share of the first routes that the later ones have to reach.
	servedPart = 0.25
)

// playLate has an operator add a route with a service of its own. Of each backend server of that service, one
// report comes late to another host than the one that gets its reports.
func playLate(f *fleet, trouble bool) (bool, error) {
	if err := startFleet(f, lateFleetHosts); err != nil {
		return false, err
	}
	ignore := func(string, *http.Request) {}
	if _, err := startPlainBackends(f, plainCount, ignore); err != nil {
		return false, err
	}
	if err := f.putConfiguration(configuration(secondVersion, true)); err != nil {
		return false, err
	}
	later, err := startBackends(f, "tea", laterCount, ignore)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * heartbeat)
	f.record.note("before: %d requests on the first route served, %d on the later one", served(f, "/swap/1"), served(f, "/tea/1"))
	if trouble {
		for _, b := range later {
			b.reportLate(f.hosts[1])
		}
	}
	time.Sleep(steadyTime)
	sent := requestsPerHost * len(f.hosts)
	first, second := served(f, "/swap/1"), served(f, "/tea/1")
	f.record.note("in steady state: of %d requests each, %d on the first route were served and %d on the later one", sent, first, second)
	return sent >= fewestRequests && float64(second) < servedPart*float64(first), nil
}

// reportLate loses one report of the backend server on its way, and has the next one, to another host, come late.
// Its further reports go where they went before.
func (b *backend) reportLate(to *host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence += 2
	sequence, body := b.sequence, b.reportBody()
	go func() {
		time.Sleep(reportDelay)
		status, _ := callControl(b.fleet.address(to, controlPort), http.MethodPut, "/instances/"+b.id, body)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.fleet.record.note("report %d of %s reaches %s %v late, after report %d was acknowledged: %d", sequence, b.id, to.name, reportDelay, b.sequence, status)
	}()
}

// served sends requests on a path to all hosts, one after the other to each, and returns how many were served.
func served(f *fleet, path string) int {
	var mu sync.Mutex
	total := 0
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		wg.Go(func() {
			c := newClient()
			for range requestsPerHost {
				id := newID()
				got := send(c, f, h, request{id: id, method: http.MethodPost, path: path, key: clientKey, body: "swap", timeout: 4 * time.Second})
				f.record.add("client gets %d for %s on %s from %s", got.status, id, path, h.name)
				mu.Lock()
				if got.status == http.StatusOK && got.whole {
					total++
				}
				mu.Unlock()
				time.Sleep(swapPause)
			}
		})
	}
	wg.Wait()
	return total
}
