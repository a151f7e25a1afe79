package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// playPublicKey has an operator make a route public while clients send requests with their keys. Once the new
// configuration must be in force, they stop sending them.
func playPublicKey(f *fleet, trouble bool) (bool, error) {
	if err := startSmallFleet(f); err != nil {
		return false, err
	}
	var leaked atomic.Int32
	err := startPlainBackends(f, func(id string, r *http.Request) {
		sent := r.Header.Get("Authorization")
		f.record.add("%s gets %s with workspace %q and key %q", id, r.Header.Get(fields.RequestID), r.Header.Get(fields.Workspace), sent)
		if strings.Contains(sent, "alto-key") {
			leaked.Add(1)
		}
	})
	if err != nil {
		return false, err
	}
	var withoutKey atomic.Bool
	key := func() string {
		if withoutKey.Load() {
			return ""
		}
		return "alto-key"
	}
	stop := make(chan struct{})
	wait := swapFromAllHosts(f, stop, key, func(time.Time, answer) {})
	time.Sleep(touchTime)
	if trouble {
		if err := f.putConfiguration(configuration(secondVersion, true)); err != nil {
			return false, err
		}
	}
	time.Sleep(configurationBound)
	withoutKey.Store(trouble)
	time.Sleep(configurationBound)
	close(stop)
	wait()
	f.record.note("%d requests were run by a backend server that got the client's key", leaked.Load())
	return leaked.Load() > 0, nil
}
