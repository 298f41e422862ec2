// Package retry limits retries: to a share of the requests by a Budget, and to a
// dependency that fails by a Pacer.
package retry

// Budget is a token bucket that requests fill and retries drain. It is not safe
// for concurrent use.
type Budget struct {
	// tokens is between 0 and max.
	tokens float64
	max    float64
	ratio  float64
}

// New returns a full budget. Each request adds ratio tokens up to max; each
// retry takes one.
func New(ratio, max float64) *Budget {
	return &Budget{tokens: max, max: max, ratio: ratio}
}

// RecordRequest records the first attempt of a request.
func (bu *Budget) RecordRequest() { bu.tokens = min(bu.max, bu.tokens+bu.ratio) }

// Take reports whether a retry is allowed, and takes one token if so.
func (bu *Budget) Take() bool {
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}
