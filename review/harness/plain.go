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
)

// startSmallFleet starts three hosts with a disk and one without, with a first configuration.
func startSmallFleet(f *fleet) error {
	for i, zone := range []string{"riga-a", "riga-b", "riga-c", "riga-a"} {
		f.addHost(zone, i < 3)
	}
	return f.startAll(configuration(firstVersion, false))
}

// startPlainBackends starts three backend servers of the service rota and waits until all hosts know them.
// onRun is called with each request that one of them runs.
func startPlainBackends(f *fleet, onRun func(id string, r *http.Request)) error {
	for i, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		id := fmt.Sprintf("i-%d", i+1)
		handle := func(w http.ResponseWriter, r *http.Request) {
			f.record.add("%s runs %s", id, r.Header.Get(fields.RequestID))
			onRun(id, r)
			time.Sleep(serviceTime)
			sign(w, id)
			_, _ = fmt.Fprintf(w, "done %s", r.Header.Get(fields.RequestID))
		}
		if _, err := startBackend(f, id, "rota", zone, serviceSlots, handle); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// swapFromAllHosts sends requests that may run only once, with a key, at a steady rate to each host until stop is
// closed. onAnswer is called with each request's id, when it was sent and its answer.
func swapFromAllHosts(f *fleet, stop <-chan struct{}, key func() string, onAnswer func(sent time.Time, got answer)) (wait func()) {
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		for range 2 {
			wg.Go(func() {
				c := newClient()
				for !isClosed(stop) {
					id, sent := newID(), time.Now()
					got := send(c, f, h, request{id: id, method: http.MethodPost, path: "/swap/1", key: key(), body: "swap", timeout: 4 * time.Second})
					f.record.add("client gets %d for %s from %s, signed %v, whole %v", got.status, id, h.name, got.header.Get(fields.Signature) != "", got.whole)
					onAnswer(sent, got)
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

// configuration returns a configuration; with publicSwap set, the route of the swaps needs no key.
func configuration(version int, publicSwap bool) string {
	return render("configuration.json.tmpl", map[string]any{"Version": version, "PublicSwap": publicSwap})
}
