package docum

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validDocument = `{"services": [{
  "name": "order-db",
  "databases": [{"name": "orders", "group": "g1"}],
  "callers": [{"name": "desk", "verifier": "SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy", "weight": 2}],
  "read_classes": [{"name": "standard", "max_age": "1s"}],
  "default_read_class": "standard"
}]}`

func TestParseFillsDefaults(t *testing.T) {
	doc, err := Parse([]byte(validDocument))
	require.NoError(t, err)
	target, err := doc.GetTargetByName("order-db.orders")
	require.NoError(t, err)
	require.Equal(t, AckMajority, target.Service.Acknowledge)
	require.Equal(t, 10*time.Second, target.Service.Limits.StatementTimeout.Duration())
	_, err = doc.GetTargetByName("order-db.stock")
	require.True(t, IsErrTargetNotExist(err))
	_, ok := target.Service.GetCallerByName("nobody")
	require.False(t, ok)
}

func TestEveryFaultIsReportedWithItsPath(t *testing.T) {
	_, err := Parse([]byte(`{"services": [{
	  "name": "Order DB",
	  "databases": [{"name": "a", "group": ""}, {"name": "a", "group": "g"}],
	  "callers": [{"name": "desk", "verifier": "secret", "weight": 0}],
	  "read_classes": [{"name": "standard", "max_age": "-1s"}],
	  "default_read_class": "other",
	  "acknowledge": "never",
	  "limits": {"queue_per_caller": -1}
	}]}`))
	var faults *Faults
	require.ErrorAs(t, err, &faults)
	var paths []string
	for _, ft := range faults.List {
		paths = append(paths, ft.Path)
	}
	require.ElementsMatch(t, []string{
		"services[0].name",
		"services[0].databases[0].group",
		"services[0].databases[1].name",
		"services[0].callers[0].verifier",
		"services[0].callers[0].weight",
		"services[0].read_classes[0].max_age",
		"services[0].default_read_class",
		"services[0].acknowledge",
		"services[0].limits.queue_per_caller",
	}, paths)
}

func TestUnknownFieldsAndTypesAreRefused(t *testing.T) {
	for _, raw := range []string{`{"service": []}`, `{"services": 3}`, `{`, `{"services": []}`} {
		_, err := Parse([]byte(raw))
		require.Error(t, err, raw)
	}
}

// BenchmarkGetTargetByName looks up a database among 1,300, the number that the
// system is designed for, with and without the index.
func BenchmarkGetTargetByName(b *testing.B) {
	var doc Document
	for pos := range 1300 {
		name := fmt.Sprintf("s%d", pos)
		doc.Services = append(doc.Services, Service{Name: name, Databases: []Database{{Name: "d", Group: "g"}}})
	}
	for name, one := range map[string]Document{"scan": doc, "index": doc.withIndex()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _ = one.GetTargetByName("s1299.d")
			}
		})
	}
}
