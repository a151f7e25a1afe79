package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/forwarder"
)

const (
	// listenerCloseDelay is how long after the stop signal the client listener and idle
	// connections stay open: clients may still connect to this host.
	listenerCloseDelay = 2500 * time.Millisecond
	// closeIdleInterval is the time between rounds of closing idle connections.
	closeIdleInterval = 200 * time.Millisecond
	// graceMargin is how long before the end of the grace period drain returns.
	graceMargin = 300 * time.Millisecond
	// answerTime bounds how long the answers to requests that are ended then may take.
	answerTime = 150 * time.Millisecond
)

// drain stops serving clients and returns once no connection is open or the grace period
// nears its end; what is in progress then is answered as failed. The host is no longer ready
// and announces on each further response that the connection closes. After
// listenerCloseDelay it closes the client listener and idle connections. Requests in progress
// may run until the end.
func (h *Runner) drain(client net.Listener) {
	deadline := time.Now().Add(h.Settings.Grace - graceMargin)
	h.stopDeadline.Store(&deadline)
	h.stopping.Store(true)
	h.logReadiness(time.Now())
	h.Log.Emit(time.Now(), logger.FleetStopping, "", logger.F("grace", h.Settings.Grace))
	h.receiver.CloseAfterResponses()
	if h.keeper != nil {
		go h.keeper.TransferLeadership(context.Background())
	}
	ending, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	select {
	case <-ending.Done():
	case <-time.After(listenerCloseDelay):
	}
	// By now the connections in the accept queue have been accepted.
	_ = client.Close()
	h.clientsClosed.Store(true)
	done := make(chan struct{})
	go func() {
		h.receiver.Wait()
		close(done)
	}()
	for {
		h.receiver.CloseIdle()
		select {
		case <-ending.Done():
			h.receiver.EndRequests()
			select {
			case <-done:
			case <-time.After(answerTime):
			}
			return
		case <-done:
			return
		case <-time.After(closeIdleInterval):
		}
	}
}

// stopState returns how far the host's stop has come; nil unless it is about to stop.
func (h *Runner) stopState() *forwarder.Stop {
	if !h.stopping.Load() {
		return nil
	}
	return &forwarder.Stop{Left: time.Until(*h.stopDeadline.Load()), Closed: h.clientsClosed.Load()}
}

// serveReady is the readiness probe of the load balancer in front of the hosts. It
// responds with 200 if this host takes new connections and with 503 otherwise.
func (h *Runner) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether the host has a configuration, is linked to other hosts and is
// not stopping. A hub that knows no other hub needs no link.
func (h *Runner) isReady() bool {
	if h.stopping.Load() || h.catalog.Load() == nil {
		return false
	}
	return len(h.linker.Linked()) > 0 || h.alone()
}

// logReadiness logs the readiness of the host if it has changed.
func (h *Runner) logReadiness(now time.Time) {
	ready := h.isReady()
	if h.ready.Swap(ready) != ready {
		h.Log.Emit(now, logger.FleetReadiness, "", logger.F("ready", ready), logger.F("links", len(h.linker.Linked())),
			logger.F("configuration", h.catalog.Load() != nil), logger.F("stopping", h.stopping.Load()))
	}
}
