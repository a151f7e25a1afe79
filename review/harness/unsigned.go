package main

import (
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// unsignedAsks is the number of short generations, askBatch that of those at the same time.
	unsignedAsks, askBatch = 120, 10
	// servedPerSpoiled is how many requests an engine has run at least when it spoils the answer to one.
	servedPerSpoiled = 50
)

// playUnsigned has one engine spoil one of its answers: the signature is missing.
func playUnsigned(f *fleet, trouble bool) (bool, error) {
	engines, err := startGenerations(f)
	if err != nil {
		return false, err
	}
	var spoiled atomic.Int32
	for _, e := range engines {
		e.spoil = func(e *engine, r *http.Request) spoiling {
			if trouble && e.served() >= servedPerSpoiled && spoiled.Add(1) == 1 {
				f.record.note("the answer of %s to %s is spoiled: one of %d", e.id, r.Header.Get(fields.RequestID), e.served())
				return signatureLost
			}
			return notSpoiled
		}
	}
	c := newClient()
	var unsigned atomic.Int32
	var wg sync.WaitGroup
	for i := range unsignedAsks {
		wg.Go(func() {
			got := generation(c, f, f.hosts[i%len(f.hosts)], askTokens)
			if got.status/100 == 2 && got.header.Get(fields.Signature) == "" {
				unsigned.Add(1)
			}
		})
		if i%askBatch == askBatch-1 {
			wg.Wait()
		}
	}
	wg.Wait()
	f.record.note("%d successes without a signature reached a client", unsigned.Load())
	return unsigned.Load() > 0, nil
}
