package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"verbenareach/internal/event/logger"
)

const (
	// stayOpen is how long after the order to stop idle connections are kept: new ones
	// may still be sent here.
	stayOpen = 2500 * time.Millisecond
	// closeIdleEvery is the time between rounds of closing idle connections.
	closeIdleEvery = 200 * time.Millisecond
	// graceMargin is what is left of the grace when the process ends.
	graceMargin = 300 * time.Millisecond
)

// drain stops serving clients: the host is no longer ready, each connection ends with
// its next answer, and what is in progress goes on until the grace is over.
func (h *Runner) drain(client net.Listener) {
	stopBy := time.Now().Add(h.Settings.Grace - graceMargin)
	h.stopBy.Store(&stopBy)
	h.stopping.Store(true)
	h.noteReady(time.Now())
	h.Log.Emit(time.Now(), logger.FleetStopping, "", logger.F("grace", h.Settings.Grace))
	h.receiver.CloseAfterResponses()
	if h.keeper != nil {
		go h.keeper.HandOver(context.Background())
	}
	end := time.NewTimer(max(h.Settings.Grace-graceMargin, 0))
	defer end.Stop()
	select {
	case <-end.C:
		return
	case <-time.After(stayOpen):
	}
	// What is still in the queue of the listener is served before it closes.
	_ = client.Close()
	done := make(chan struct{})
	go func() {
		h.receiver.Wait()
		close(done)
	}()
	for {
		h.receiver.CloseIdle()
		select {
		case <-end.C:
			return
		case <-done:
			return
		case <-time.After(closeIdleEvery):
		}
	}
}

// timeLeft tells whether the host is about to stop, and how long it still serves.
func (h *Runner) timeLeft() (left time.Duration, stopping bool) {
	if !h.stopping.Load() {
		return 0, false
	}
	return time.Until(*h.stopBy.Load()), true
}

// serveReady tells the balancer whether this host takes new connections.
func (h *Runner) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady tells whether the host has a configuration, hears the others and stays.
func (h *Runner) isReady() bool {
	if h.stopping.Load() || h.catalog.Load() == nil {
		return false
	}
	return len(h.linker.Linked()) > 0 || h.keeper != nil && len(h.linker.Hubs()) == 1
}

func (h *Runner) noteReady(now time.Time) {
	ready := h.isReady()
	if h.ready.Swap(ready) != ready {
		h.Log.Emit(now, logger.FleetReadiness, "", logger.F("ready", ready), logger.F("links", len(h.linker.Linked())),
			logger.F("configuration", h.catalog.Load() != nil), logger.F("stopping", h.stopping.Load()))
	}
}
