package share

import (
	"cmp"
	"slices"
)

// OrderHomes returns the homes by preference for the batches of a workspace, by rendezvous
// hashing: if a home is missing, only the workspaces that preferred it move.
func OrderHomes(workspace string, homes []string) []string {
	return slices.SortedFunc(slices.Values(homes), func(left, right string) int {
		return cmp.Compare(hashPair(workspace, right), hashPair(workspace, left))
	})
}

// largePart is the part of the sum of all rates above which a workspace uses all homes. Each of
// two homes has 24 connections; the workspaces above this part are few, and would make one home
// much busier than the other.
const largePart = 1.0 / 8

// FindLarge returns the workspaces whose rate is more than largePart of the sum. The rates are
// by workspace.
func FindLarge(rates map[string]float64) map[string]bool {
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	out := make(map[string]bool)
	for name, rate := range rates {
		if rate > sum*largePart {
			out[name] = true
		}
	}
	return out
}
