package allocator

import (
	"context"
	"time"

	"verbenareach/internal/wire/messenger"
)

// permitTimeout bounds the wait for the decider's reply to a request for permission.
const permitTimeout = 150 * time.Millisecond

// Permit asks the decider for permission to send a request to a backend server that set a limit. It
// is granted after a wait, which is maxWait at most, or refused; then wait is the time until one
// might be granted.
func (a *Allocator) Permit(ctx context.Context, b *messenger.Backend, maxWait time.Duration) (wait time.Duration, granted bool) {
	a.mu.Lock()
	a.init()
	a.lastPermit++
	id := a.lastPermit
	replied := make(chan *messenger.PermitReply, 1)
	req := &messenger.PermitRequest{Id: id, Backend: b.Id, Started: b.Started, MaxWaitMs: maxWait.Milliseconds()}
	asked := a.sendToDecider(func(m *messenger.LinkMessage) { m.PermitRequests = append(m.PermitRequests, req) })
	if asked {
		a.permits[id] = replied
	}
	a.mu.Unlock()
	if !asked {
		return a.Throttler.Reserve(time.Now(), b, maxWait)
	}
	timer := time.NewTimer(permitTimeout)
	defer timer.Stop()
	select {
	case r := <-replied:
		return time.Duration(r.WaitMs) * time.Millisecond, r.Granted
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.permits, id)
	return permitTimeout, false
}

// replyPermits answers the requests for permission of another host. The lock is held.
func (a *Allocator) replyPermits(now time.Time, from string, requests []*messenger.PermitRequest) {
	if len(requests) == 0 {
		return
	}
	replies := make([]*messenger.PermitReply, 0, len(requests))
	for _, r := range requests {
		b := &messenger.Backend{Id: r.Backend, Started: r.Started}
		wait, granted := a.Throttler.Reserve(now, b, time.Duration(r.MaxWaitMs)*time.Millisecond)
		replies = append(replies, &messenger.PermitReply{Id: r.Id, Granted: granted, WaitMs: roundUp(wait).Milliseconds()})
	}
	a.Enqueue(from, func(m *messenger.LinkMessage) { m.PermitReplies = append(m.PermitReplies, replies...) })
}

// deliverPermit passes a reply to the request that waits for it, if it still does. The lock is held.
func (a *Allocator) deliverPermit(r *messenger.PermitReply) {
	if replied := a.permits[r.Id]; replied != nil {
		delete(a.permits, r.Id)
		replied <- r
	}
}

// roundUp rounds a duration up to milliseconds.
func roundUp(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}
