package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// invalidChange is a configuration that is invalid for one reason.
type invalidChange struct {
	reason string
	body   string
}

// configurationBound is how long after its acknowledgement a configuration may not be in force yet.
const configurationBound = 2 * time.Second

// playInvalid has the operator send invalid configurations, one after the other.
func playInvalid(f *fleet, trouble bool) (bool, error) {
	if err := startSmallFleet(f); err != nil {
		return false, err
	}
	if err := startPlainBackends(f, func(string, *http.Request) {}); err != nil {
		return false, err
	}
	var unauthorized atomic.Int32
	stop := make(chan struct{})
	wait := swapFromAllHosts(f, stop, func() string { return "alto-key" }, func(_ time.Time, got answer) {
		if got.status == http.StatusUnauthorized {
			unauthorized.Add(1)
		}
	})
	time.Sleep(touchTime)
	broken := false
	if trouble {
		for _, change := range invalidChanges() {
			if acknowledgesInvalid(f, change) {
				broken = true
			}
		}
	} else {
		status, _ := callControl(f.address(f.hosts[0], controlPort), http.MethodPut, "/config", configuration(secondVersion, false))
		f.record.note("a valid configuration is answered with %d", status)
	}
	close(stop)
	wait()
	f.record.note("%d requests with the key that was sent were answered with 401", unauthorized.Load())
	return broken, nil
}

// invalidChanges returns the invalid configurations, each under a version of its own.
func invalidChanges() []invalidChange {
	split := func(service string, weight int) string {
		return fmt.Sprintf(`%q:[{"service":%q,"weight":%d}]`, fields.Split, service, weight)
	}
	replaced := func(version int, from, to string) string {
		return strings.Replace(configuration(version, false), from, to, 1)
	}
	return []invalidChange{
		{"a service that its routes name is unknown", replaced(secondVersion, `{"name":"rota"`, `{"name":"other"`)},
		{"a route names an unknown service, beside a known one", replaced(secondVersion+1, `"service":"rota"`, `"service":"rota",`+split("nobody", 1))},
		{"the weights of a route add up to 0, beside a service", replaced(secondVersion+2, `"service":"rota"`, `"service":"rota",`+split("rota", 0))},
		{"a byte within a key is spoiled, so that it is no JSON text", replaced(secondVersion+3, "alto-key", "alto\xffkey")},
	}
}

// acknowledgesInvalid sends an invalid configuration, and reports whether it is acknowledged. It notes whether it
// is then read back.
func acknowledgesInvalid(f *fleet, change invalidChange) bool {
	status, _ := callControl(f.address(f.hosts[0], controlPort), http.MethodPut, "/config", change.body)
	time.Sleep(configurationBound)
	_, held := callControl(f.address(f.hosts[1], controlPort), http.MethodGet, "/config", "")
	f.record.note("invalid, as %s: answered with %d; read back: %v", change.reason, status, held == change.body)
	return status/100 == 2
}
