package estimator

import "sync"

// expectedQuantile is the share of generations that grow no further than predicted.
const expectedQuantile = 0.7

// Predictor learns from the lengths of complete generations how far others will grow. It
// is safe for concurrent use.
type Predictor struct {
	mu      sync.Mutex
	lengths *Estimator
}

// NewPredictor returns a predictor without observations.
func NewPredictor() *Predictor {
	return &Predictor{lengths: New(DefaultMaxCurves)}
}

// Ended records the length of a complete generation, in tokens.
func (p *Predictor) Ended(key Key, length int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.lengths.Track(key, 0)
	t.Finish(length)
}

// Expect returns the predicted number of further tokens of a generation that has n tokens:
// the expectedQuantile of Curve.Quantile.
func (p *Predictor) Expect(key Key, n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lengths.Curve(key).Quantile(n, expectedQuantile)
}
