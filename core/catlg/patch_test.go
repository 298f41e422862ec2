package catlg_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanspring/core/catlg"
)

func catalogOf(version uint64, targets map[string]int) *catlg.Catalog {
	var out []catlg.Target
	for name, timeout := range targets {
		out = append(out, catlg.Target{Database: name, StatementTimeout: time.Duration(timeout)})
	}
	return catlg.New(version, time.Duration(version), out, []catlg.Group{{Name: fmt.Sprint("g", version)}})
}

func TestPatchGivesTheNewerVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := rapid.MapOf(rapid.StringMatching("[a-f]"), rapid.IntRange(0, 2))
		old, next := catalogOf(3, targets.Draw(rt, "old")), catalogOf(7, targets.Draw(rt, "next"))
		got, ok := old.WithPatch(next.PatchFrom(old))
		require.True(rt, ok)
		require.Equal(rt, next, got)
		got, ok = old.WithPatch(next.PatchFrom(nil))
		require.True(rt, ok)
		require.Equal(rt, next, got)
	})
}

func TestPatchOfAnotherVersionIsNotApplied(t *testing.T) {
	old, next := catalogOf(3, nil), catalogOf(7, nil)
	_, ok := catalogOf(4, nil).WithPatch(next.PatchFrom(old))
	require.False(t, ok)
}

// big_config: the configuration grows by many routes, and then a time-out changes.
func TestPatchOfAManyRoutesConfigurationHoldsWhatChanged(t *testing.T) {
	const routes = 1400
	targets := make(map[string]int, routes)
	for num := range routes {
		targets[fmt.Sprint("db", num)] = 1
	}
	old := catalogOf(3, targets)
	targets["db7"] = 2
	delete(targets, "db8")
	pa := catalogOf(7, targets).PatchFrom(old)
	require.Len(t, pa.Targets, 1)
	require.Equal(t, []string{"db8"}, pa.Removed)
}
