package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// serviceTime is how long a plain backend server works on a request, serviceSlots how many it runs at once.
	serviceTime  = 30 * time.Millisecond
	serviceSlots = 6
	// settleTime is how long reports of new backend servers may take to reach all hosts.
	settleTime = 2 * time.Second
	// touchTime is longer than the time that a host which has started needs to be in touch.
	touchTime = 4 * time.Second
	// swapPause is the time between two requests of a client.
	swapPause = 100 * time.Millisecond
	// diskHosts is the number of hosts with a disk, smallFleetHosts that of all hosts of a small fleet.
	diskHosts, smallFleetHosts = 3, 4
	// plainCount is the number of backend servers of the service rota.
	plainCount = 3
)

// clientKey is the key of all clients, as the configurations hold it.
const clientKey = "alto-key"

// zones holds the zones of the deployment.
var zones = []string{"riga-a", "riga-b", "riga-c"}

// startSmallFleet starts three hosts with a disk and one without, with a first configuration.
func startSmallFleet(f *fleet) error { return startFleet(f, smallFleetHosts) }

// startFleet starts three hosts with a disk and others without, with a first configuration.
func startFleet(f *fleet, hosts int) error {
	for i := range hosts {
		f.addHost(zones[i%len(zones)], i < diskHosts)
	}
	return f.startAll(configuration(firstVersion, false))
}

// startPlainBackends starts n backend servers of the service rota and waits until all hosts know them. onRun is
// called with each request that one of them runs.
func startPlainBackends(f *fleet, n int, onRun func(id string, r *http.Request)) ([]*backend, error) {
	return startBackends(f, "rota", n, onRun)
}

// startBackends is startPlainBackends for any service.
func startBackends(f *fleet, service string, n int, onRun func(id string, r *http.Request)) (list []*backend, err error) {
	for i := range n {
		id := fmt.Sprintf("i-%s-%d", service, i+1)
		handle := func(w http.ResponseWriter, r *http.Request) {
			f.record.add("%s runs %s", id, r.Header.Get(fields.RequestID))
			onRun(id, r)
			time.Sleep(serviceTime)
			sign(w, id)
			_, _ = fmt.Fprintf(w, "done %s", r.Header.Get(fields.RequestID))
		}
		b, err := startBackend(f, id, service, zones[i%len(zones)], serviceSlots, handle)
		if err != nil {
			return nil, err
		}
		list = append(list, b)
	}
	time.Sleep(settleTime)
	return list, nil
}

// swapFromAllHosts sends requests that may run only once at a steady rate to each host until stop is closed.
// onAnswer is called with each answer.
func swapFromAllHosts(f *fleet, stop <-chan struct{}, onAnswer func(got answer)) (wait func()) {
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		for range 2 {
			wg.Go(func() {
				c := newClient()
				for !isClosed(stop) {
					id := newID()
					got := send(c, f, h, request{id: id, method: http.MethodPost, path: "/swap/1", key: clientKey, body: "swap", timeout: 4 * time.Second})
					f.record.add("client gets %d for %s from %s, signed %v, whole %v", got.status, id, h.name, got.header.Get(fields.Signature) != "", got.whole)
					onAnswer(got)
					time.Sleep(swapPause)
				}
			})
		}
	}
	return wg.Wait
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// firstVersion and secondVersion are the versions of the configurations that the cases send.
const firstVersion, secondVersion = 3, 8

// configuration returns a configuration; with laterRoute set, it has one more route, to a service of its own.
func configuration(version int, laterRoute bool) string {
	return render("configuration.json.tmpl", map[string]any{"Version": version, "LaterRoute": laterRoute})
}
