package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// deniedBase and deniedShare bound the requests that may be denied: deniedBase and one in deniedShare.
const deniedBase, deniedShare = 5, 500

// foreignTime is how long the other writer sends its reports.
const foreignTime = 8 * time.Second

// playForeign has another writer than a backend server send reports in which fields are missing. At its address
// listens a process that knows nothing of the clients' requests.
func playForeign(f *fleet, trouble bool) (bool, error) {
	if err := startSmallFleet(f); err != nil {
		return false, err
	}
	if _, err := startPlainBackends(f, plainCount, func(string, *http.Request) {}); err != nil {
		return false, err
	}
	var total, denied atomic.Int32
	stop := make(chan struct{})
	wait := swapFromAllHosts(f, stop, func(got answer) {
		total.Add(1)
		if isDenial(got.status) && got.header.Get(fields.Signature) == "" {
			denied.Add(1)
		}
	})
	time.Sleep(touchTime)
	if trouble {
		if err := reportForeign(f, stop); err != nil {
			return false, err
		}
	}
	time.Sleep(foreignTime)
	close(stop)
	wait()
	allowed := deniedBase + total.Load()/deniedShare
	f.record.note("%d of %d requests ended with a 3xx or 4xx that no backend server gave; %d are allowed", denied.Load(), total.Load(), allowed)
	return denied.Load() > allowed, nil
}

// reportForeign starts the process of another writer and sends its report to one host at each heartbeat.
func reportForeign(f *fleet, stop <-chan struct{}) error {
	l, err := net.Listen("tcp", f.freeIP()+":0")
	if err != nil {
		return err
	}
	process := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.record.add("the other writer's process gets %s %s, id %s", r.Method, r.URL.Path, r.Header.Get(fields.RequestID))
		w.WriteHeader(http.StatusNotFound)
	})}
	process.SetKeepAlivesEnabled(false)
	go func() { _ = process.Serve(l) }()
	h := f.hosts[0]
	go func() {
		for sequence := 1; !isClosed(stop); sequence++ {
			body := render("foreign.json.tmpl", map[string]any{"Service": "rota", "Address": l.Addr().String(), "Zone": h.zone, "Sequence": sequence})
			status, _ := callControl(f.address(h, controlPort), http.MethodPut, "/instances/agent-7", body)
			f.record.add("report of another writer to %s is answered with %d: %s", h.name, status, body)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// isDenial reports whether a status denies a request for good.
func isDenial(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	default:
		return status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
	}
}
