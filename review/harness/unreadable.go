package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// playUnreadable has the operator send a configuration in which one byte is spoiled, so that it is no JSON text.
func playUnreadable(f *fleet, trouble bool) (bool, error) {
	if err := startSmallFleet(f); err != nil {
		return false, err
	}
	if err := startPlainBackends(f, func(string, *http.Request) {}); err != nil {
		return false, err
	}
	var refused atomic.Int32
	stop := make(chan struct{})
	wait := swapFromAllHosts(f, stop, func() string { return "alto-key" }, func(_ time.Time, got answer) {
		if got.status == http.StatusUnauthorized {
			refused.Add(1)
		}
	})
	time.Sleep(touchTime)
	sent := configuration(secondVersion, false)
	if trouble {
		sent = strings.Replace(sent, "alto-key", "alto\xffkey", 1)
	}
	status, text := callControl(f.address(f.hosts[0], controlPort), http.MethodPut, "/config", sent)
	f.record.note("configuration is answered with %d %s", status, strings.TrimSpace(text))
	time.Sleep(configurationBound)
	_, held := callControl(f.address(f.hosts[1], controlPort), http.MethodGet, "/config", "")
	close(stop)
	wait()
	f.record.note("the configuration that was sent is in force: %v; %d requests with the key were answered with 401", held == sent, refused.Load())
	return trouble && status/100 == 2, nil
}
