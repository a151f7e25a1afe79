// Package estimator learns the distribution of output lengths for each
// workspace and kind of request, and answers how much further a generation is
// going to grow.
package estimator

import "container/list"

// DefaultMaxCurves bounds the curves of an Estimator: three kinds for each of
// 4,900 workspaces.
const DefaultMaxCurves = 3 * 4900

type (
	// Key names what lengths are learned for.
	Key struct {
		Workspace string
		// Kind tells requests of a workspace apart, as a question from a report.
		Kind string
	}

	// Estimator holds the curves. A new workspace starts from what is known of
	// the kind, a new kind from what is known of all requests. It isn't safe
	// for concurrent use.
	Estimator struct {
		maxCurves int
		all       *Curve
		kinds     map[string]*Curve
		curves    map[Key]*Curve
		// recent lists the curves, the one used last at the front.
		recent *list.List
	}

	// Tracker follows one generation, so that its growth is learned from while
	// it runs. Its zero value is not usable; see Estimator.Track.
	Tracker struct {
		curve *Curve
		// bucket is the one that the generation is in.
		bucket int
		// next is the length at which it leaves that bucket.
		next int
	}
)

// maxKinds bounds the kinds; further ones share the curve of all requests.
const maxKinds = 64

// New returns an estimator of at most so many curves.
func New(maxCurves int) *Estimator {
	return &Estimator{
		maxCurves: maxCurves,
		all:       &Curve{},
		kinds:     make(map[string]*Curve),
		curves:    make(map[Key]*Curve),
		recent:    list.New(),
	}
}

// Curve returns the curve of a key. Where the bound is reached, the curve
// unused for longest is forgotten; its kind still knows of it.
func (e *Estimator) Curve(key Key) *Curve {
	if c := e.curves[key]; c != nil {
		e.recent.MoveToFront(c.used)
		return c
	}
	if len(e.curves) >= e.maxCurves {
		oldest, _ := e.recent.Remove(e.recent.Back()).(*Curve)
		delete(e.curves, oldest.key)
	}
	c := &Curve{parent: e.kind(key.Kind), key: key}
	c.used = e.recent.PushFront(c)
	e.curves[key] = c
	return c
}

// Len returns the number of curves of workspaces.
func (e *Estimator) Len() int {
	return len(e.curves)
}

// Track starts to follow a generation of key that has n tokens already: what
// it grew before was learned where it ran.
func (e *Estimator) Track(key Key, n int) Tracker {
	b := bucketOf(n)
	return Tracker{curve: e.Curve(key), bucket: b, next: lowerBound(b + 1)}
}

func (e *Estimator) kind(name string) *Curve {
	if c := e.kinds[name]; c != nil {
		return c
	}
	if len(e.kinds) >= maxKinds {
		return e.all
	}
	c := &Curve{parent: e.all, key: Key{Kind: name}}
	e.kinds[name] = c
	return c
}

// Curve returns the curve that the generation belongs to.
func (t *Tracker) Curve() *Curve {
	return t.curve
}

// Finish records that the generation came to its end with length tokens.
func (t *Tracker) Finish(length int) {
	t.Grow(length)
	t.curve.Finished(length)
}

// Grow records that the generation has n tokens.
func (t *Tracker) Grow(n int) {
	for n >= t.next && t.bucket < buckets-1 {
		t.curve.outgrew(t.bucket)
		t.bucket++
		t.next = lowerBound(t.bucket + 1)
	}
}
