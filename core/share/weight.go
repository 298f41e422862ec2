package share

import (
	"math"
	"slices"
)

const (
	// MinWeight is the lowest weight of a workspace in the queues.
	MinWeight = 1
	// MaxWeight is the highest one. A large workspace is not served more than 16 times as often as
	// a small one.
	MaxWeight = 16
	// MiddleWeight is the weight of a workspace with the median rate, and of requests whose rate
	// is not known.
	MiddleWeight = 4
)

// Weights holds the weights of workspaces in the queues. It is immutable.
type Weights struct {
	byName map[string]uint32
}

// NewWeights returns the weights for rates by workspace, in proportion to the median rate. The
// mean would lie far above nearly all rates if a few workspaces are large.
func NewWeights(rates map[string]float64) Weights {
	sorted := make([]float64, 0, len(rates))
	for _, rate := range rates {
		sorted = append(sorted, rate)
	}
	slices.Sort(sorted)
	we := Weights{byName: make(map[string]uint32, len(rates))}
	for name, rate := range rates {
		we.byName[name] = weightOf(rate, sorted[len(sorted)/2])
	}
	return we
}

func weightOf(rate, median float64) uint32 {
	switch {
	case rate <= 0:
		return MinWeight
	case median <= 0:
		return MaxWeight
	}
	return uint32(min(max(math.Round(MiddleWeight*rate/median), MinWeight), MaxWeight))
}

// Get returns the weight of a workspace; MiddleWeight if its rate is not known.
func (we Weights) Get(workspace string) uint32 {
	if weight, ok := we.byName[workspace]; ok {
		return weight
	}
	return MiddleWeight
}
