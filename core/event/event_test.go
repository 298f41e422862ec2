package event

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTableIsConsistentAndDocumented(t *testing.T) {
	raw, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	seen := make(map[string]bool)
	for _, inf := range Table() {
		require.False(t, seen[inf.Name], inf.Name)
		seen[inf.Name] = true
		line := fmt.Sprintf("| %d | %s | %s | %s |", inf.ID, inf.Name, inf.Level, inf.Text)
		require.Contains(t, string(raw), line)
	}
}

func TestLogCarriesTheNumber(t *testing.T) {
	var out bytes.Buffer
	Log(slog.New(slog.NewJSONHandler(&out, nil)), UpstreamDown, "upstream", "u1")
	require.Contains(t, out.String(), `"msg":"upstream_down","event":304,"upstream":"u1"`)
}
