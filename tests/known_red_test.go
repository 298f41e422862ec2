package tests

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKnownRedPattern runs known-red.sh in a module with the tests TestOld and TestBoth,
// the second of which is in two packages.
func TestKnownRedPattern(t *testing.T) {
	script, err := filepath.Abs("known-red.sh")
	require.NoError(t, err)
	const issue = "  Open issue: a title.\n"
	for _, tc := range []struct {
		name, list, pattern, fault string
	}{
		{name: "no entry"},
		{name: "test", list: "TestOld (old), seldom\n  go test ./old\n" + issue, pattern: "^TestOld$\n"},
		{name: "no test", list: "Not a test: a day\nTestGone (old) is no entry\n" + issue, pattern: "\n"},
		{name: "test gone", list: "TestGone (old)\n" + issue, fault: "TestGone is in no test file"},
		{name: "other package", list: "TestOld (new)\n" + issue, fault: "TestOld (new) is also in ./old/old_test.go"},
		{name: "two packages", list: "TestBoth (old)\n" + issue, fault: "TestBoth (old) is also in ./new/new_test.go"},
		{name: "not compiled", list: "TestOther (old)\n" + issue, fault: "TestOther is not one test of old"},
		{name: "subtest", list: "TestOld/one (old)\n" + issue, fault: "neither a test"},
		{name: "no package", list: "TestOld fails\n" + issue, fault: "neither a test"},
		{name: "no issue", list: "TestOld (old)\n  go test ./old\n", fault: "no open issue"},
		{name: "second entry", list: "TestOld (old)\n" + issue + "\nTestOl (old)\n" + issue, fault: "TestOl is in no test file"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			for name, text := range map[string]string{
				"go.mod":            "module example\n\ngo 1.26\n",
				"KNOWN-RED.txt":     tc.list,
				"old/old_test.go":   "package old\n\nimport \"testing\"\n\nfunc TestOld(t *testing.T) {}\n\nfunc TestBoth(t *testing.T) {}\n",
				"old/other_test.go": "//go:build other\n\npackage old\n\nimport \"testing\"\n\nfunc TestOther(t *testing.T) {}\n",
				"new/new_test.go":   "package new\n\nimport \"testing\"\n\nfunc TestBoth(t *testing.T) {}\n",
			} {
				path := filepath.Join(dir, name)
				require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
				require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			}
			cmd := exec.CommandContext(t.Context(), "sh", script)
			cmd.Dir = dir
			out, err := cmd.Output()
			if tc.fault == "" {
				require.NoError(t, err)
				require.Equal(t, tc.pattern, string(out))
				return
			}
			var failed *exec.ExitError
			require.ErrorAs(t, err, &failed)
			require.Contains(t, string(failed.Stderr), tc.fault)
		})
	}
}
