// Package retry holds the budget that keeps retries a small share of requests.
package retry

// Budget is a token bucket that requests fill and retries drain.
type Budget struct {
	// level is between 0 and max.
	level float64
	max   float64
	ratio float64
}

// New returns a full budget. Each request adds ratio tokens up to max; each
// retry takes one.
func New(ratio, max float64) *Budget {
	return &Budget{level: max, max: max, ratio: ratio}
}

// Request notes one first try.
func (bu *Budget) Request() { bu.level = min(bu.max, bu.level+bu.ratio) }

// Take reports whether a retry is allowed and draws one token if so.
func (bu *Budget) Take() bool {
	if bu.level < 1 {
		return false
	}
	bu.level--
	return true
}
