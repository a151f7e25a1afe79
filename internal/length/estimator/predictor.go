package estimator

import "sync"

// expectedQuantile is the part of generations that stay within what a Predictor
// tells of them.
const expectedQuantile = 0.7

// Predictor answers how far generations are expected to grow, from those that
// ended. It is safe for concurrent use.
type Predictor struct {
	mu      sync.Mutex
	lengths *Estimator
}

// NewPredictor returns a predictor that knows nothing yet.
func NewPredictor() *Predictor {
	return &Predictor{lengths: New(DefaultMaxCurves)}
}

// Ended records the length of a generation that came to its own end.
func (p *Predictor) Ended(key Key, length int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.lengths.Track(key, 0)
	t.Finish(length)
}

// Expect returns how many more tokens a generation that has n makes.
func (p *Predictor) Expect(key Key, n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lengths.Curve(key).Quantile(n, expectedQuantile)
}
