// Package estimator learns the distribution of output lengths for each workspace and kind of
// request, and predicts how many more tokens a generation makes. A Corrector learns from the
// clients' estimates of the lengths as well.
package estimator

import "container/list"

// DefaultMaxCurves bounds the curves of an Estimator: three kinds for each of
// 4,900 workspaces.
const DefaultMaxCurves = 3 * 4900

type (
	// Key identifies the requests whose lengths are learned together.
	Key struct {
		Workspace string
		// Kind distinguishes requests of a workspace, such as questions and reports.
		Kind string
	}

	// Estimator holds the curves. The curve of a new workspace starts from that of the
	// kind, the curve of a new kind from that of all requests. It isn't safe for
	// concurrent use.
	Estimator struct {
		maxCurves int
		// all is the curve of all requests and the parent of those in kinds.
		all *Curve
		// kinds holds the curve of each kind in all workspaces, the parent of those in
		// curves.
		kinds  map[string]*Curve
		curves map[Key]*Curve
		// recent lists the curves in curves, the most recently used first.
		recent *list.List
	}

	// Tracker records the growth of one generation while it runs. Its zero value is not
	// usable; see Estimator.Track.
	Tracker struct {
		curve *Curve
		// bucket is the bucket of the generation's present length. The buckets below are
		// recorded in the curve.
		bucket int
		// next is the smallest length in the next bucket.
		next int
	}
)

// maxKinds bounds the kinds; further ones share the curve of all requests. It bounds the
// kinds of a Corrector too.
const maxKinds = 64

// New returns an estimator that holds up to maxCurves curves, at least 1, of workspaces.
func New(maxCurves int) *Estimator {
	return &Estimator{
		maxCurves: maxCurves,
		all:       &Curve{},
		kinds:     make(map[string]*Curve),
		curves:    make(map[Key]*Curve),
		recent:    list.New(),
	}
}

// Curve returns the curve of a key. At the limit, the least recently used curve is
// dropped; the curve of its kind keeps its observations.
func (e *Estimator) Curve(key Key) *Curve {
	if c := e.curves[key]; c != nil {
		e.recent.MoveToFront(c.recent)
		return c
	}
	if len(e.curves) >= e.maxCurves {
		oldest, _ := e.recent.Remove(e.recent.Back()).(*Curve)
		delete(e.curves, oldest.key)
	}
	c := &Curve{parent: e.kind(key.Kind), key: key}
	c.recent = e.recent.PushFront(c)
	e.curves[key] = c
	return c
}

// Len returns the number of curves of workspaces.
func (e *Estimator) Len() int {
	return len(e.curves)
}

// Track returns a tracker of a generation of key that has n tokens already. Their growth
// isn't recorded, since the agent that it ran on before has done that.
func (e *Estimator) Track(key Key, n int) Tracker {
	b := bucketOf(n)
	return Tracker{curve: e.Curve(key), bucket: b, next: lowerBound(b + 1)}
}

// kind returns the curve of a kind; that of all requests once there are maxKinds kinds.
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

// Curve returns the curve of the generation.
func (t *Tracker) Curve() *Curve {
	return t.curve
}

// Finish records that the generation is complete with length tokens.
func (t *Tracker) Finish(length int) {
	t.Grow(length)
	t.curve.Finished(length)
}

// Grow records that the generation has n tokens, if that is more than before.
func (t *Tracker) Grow(n int) {
	for n >= t.next && t.bucket < bucketCount-1 {
		t.curve.outgrew(t.bucket)
		t.bucket++
		t.next = lowerBound(t.bucket + 1)
	}
}
