package codes

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTableIsConsistentAndDocumented(t *testing.T) {
	raw, err := os.ReadFile("../../docs/RESULTS.md")
	require.NoError(t, err)
	seen := make(map[string]bool)
	for _, inf := range Table() {
		require.False(t, seen[inf.Name], inf.Name)
		seen[inf.Name] = true
		require.Len(t, inf.SQLState, 5)
		require.Equal(t, inf, inf.Code.Info())
		line := fmt.Sprintf("| BS%d | %s | %s | %s | %s | %s |", inf.Code, inf.Name, inf.SQLState, yesOrNo(inf.NotRun), yesOrNo(inf.Retryable), inf.Text)
		require.Contains(t, string(raw), line)
	}
}

func yesOrNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func TestRefusalsSayNotRunOnlyIfTheirCodeDoes(t *testing.T) {
	require.Contains(t, Refuse(QueueFull, "x").Error(), "(not run)")
	require.NotContains(t, Refuse(OutcomeUnknown, "x").Error(), "not run")
	require.Equal(t, Internal, From(fmt.Errorf("odd")).Code)
}
