package conf

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExampleIsValid(t *testing.T) {
	se, err := Load("../../custom/conf/app.example.ini")
	require.NoError(t, err)
	require.NotEmpty(t, se.Daemon.ID)
}

// TestExampleNamesEveryKey guards against a key that is missing in the example
// file. The known keys are taken from the faults for an unknown key.
func TestExampleNamesEveryKey(t *testing.T) {
	raw, err := os.ReadFile("../../custom/conf/app.example.ini")
	require.NoError(t, err)
	_, err = Parse("probe", []byte("[daemon]\nx=1\n[caller]\nx=1\n[peer]\nx=1\n[admin]\nx=1\n[platform]\nx=1\n[home]\nx=1\n[shutdown]\nx=1\n[log]\nx=1\n"))
	var faults *Faults
	require.ErrorAs(t, err, &faults)
	for _, ft := range faults.List {
		if ft.Key != "x" {
			continue
		}
		for _, key := range knownKeys(ft.Reason) {
			require.Contains(t, string(raw), "\n"+key+" =", "[%s] %s", ft.Section, key)
		}
	}
}

func TestFaultsNameFileSectionAndKey(t *testing.T) {
	_, err := Parse("app.ini", []byte("[daemon]\nid = a\ndomain = d\n[caller]\nlisten = localhost\nmax_sessions = many\n[shutdown]\ndeadline = 1s\nlast_call = 2s\n[callers]\n"))
	require.Error(t, err)
	for _, want := range []string{
		"app.ini: [daemon] region: want a value",
		"app.ini: [caller] listen: want ip:port",
		"app.ini: [caller] max_sessions: want a number",
		"app.ini: [shutdown] last_call: want less than deadline",
		"app.ini: [callers] *: unknown section",
	} {
		require.Contains(t, err.Error(), want)
	}
}

func knownKeys(reason string) []string {
	_, list, _ := strings.Cut(reason, "known keys are ")
	return strings.Split(list, ", ")
}
