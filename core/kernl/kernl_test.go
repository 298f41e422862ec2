package kernl

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestPluginsStartInOrderAndStopInReverse(t *testing.T) {
	var trace []string
	rg := &Registry[string]{}
	register := func(name string, stage int, fails bool) {
		rg.Register(Plugin[string]{
			Name:  name,
			Stage: stage,
			Start: func(context.Context, string) error {
				if fails {
					return errors.New("start failed")
				}
				trace = append(trace, "start "+name)
				return nil
			},
			Drain: func(context.Context, string) { trace = append(trace, "drain "+name) },
			Stop:  func(string) { trace = append(trace, "stop "+name) },
		})
	}
	register("late", 2, false)
	register("early", 1, false)
	ke := New("host", rg)
	require.NoError(t, ke.Start(t.Context()))
	ke.Drain(t.Context())
	ke.Stop()
	require.Equal(t, []string{"start early", "start late", "drain late", "drain early", "stop late", "stop early"}, trace)
	require.Panics(t, func() { register("late", 3, false) })

	trace = nil
	register("broken", 3, true)
	require.ErrorContains(t, New("host", rg).Start(t.Context()), "plug-in broken")
	require.Equal(t, []string{"start early", "start late", "stop late", "stop early"}, trace)
}
