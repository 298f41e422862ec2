package adopt

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func document(service string) []byte {
	return fmt.Appendf(nil, `{"services": [{"name": %q, "databases": [{"name": "d", "group": "g"}],
	"read_classes": [{"name": "standard"}], "default_read_class": "standard"}]}`, service)
}

func TestLowerVersionIsNotAdopted(t *testing.T) {
	ke := New()
	out, err := ke.Offer(5, document("five"))
	require.NoError(t, err)
	require.Equal(t, Adopted, out)
	for _, version := range []uint64{1, 5} {
		out, err = ke.Offer(version, document("old"))
		require.NoError(t, err)
		require.Equal(t, Stale, out)
	}
	out, err = ke.Offer(6, []byte("{}"))
	require.Error(t, err)
	require.Equal(t, Invalid, out)
	require.Equal(t, "five", ke.Current().Document.Services[0].Name)
}

func TestConcurrentOffersAdoptTheHighestVersion(t *testing.T) {
	ke := New()
	var wg sync.WaitGroup
	for version := range uint64(50) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := ke.Offer(version+1, document(fmt.Sprintf("s%d", version+1)))
			require.NoError(t, err)
		}()
	}
	wg.Wait()
	require.Equal(t, uint64(50), ke.Current().Version)
	require.Equal(t, "s50", ke.Current().Document.Services[0].Name)
}
