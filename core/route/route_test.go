package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/place"
	"banyanspring/core/posn"
)

var now = time.Unix(1000, 0)

func site(domain, region string) place.Site { return place.Site{Domain: domain, Region: region} }

func group() []Upstream {
	return []Upstream{
		{Name: "p", Site: site("medeu", "almaty"), Primary: true},
		{Name: "near", Site: site("alatau", "almaty")},
		{Name: "far", Site: site("esil", "astana")},
	}
}

func names(ups []Upstream) []string {
	var out []string
	for _, up := range ups {
		out = append(out, up.Name)
	}
	return out
}

func TestReadsPreferNearUpstreams(t *testing.T) {
	require.Equal(t, []string{"near", "p", "far"}, names(ReadCandidates(group(), Request{From: site("medeu", "almaty")}, now)))
	require.Equal(t, []string{"far", "near", "p"}, names(ReadCandidates(group(), Request{From: site("esil", "astana")}, now)))
	require.Equal(t, []string{"p"}, names(ReadCandidates(group(), Request{PrimaryOnly: true}, now)))
}

func TestUnavailableUpstreamsComeLastOrAreOmitted(t *testing.T) {
	ups := group()
	ups[1].FailedUntil = now.Add(time.Second)
	require.Equal(t, []string{"p", "far", "near"}, names(ReadCandidates(ups, Request{From: site("alatau", "almaty")}, now)))
	ups = group()
	ups[1].Leaving = true
	require.Equal(t, []string{"p", "far"}, names(ReadCandidates(ups, Request{From: site("alatau", "almaty")}, now)))
	ups = group()
	ups[1].BehindUntil = now.Add(time.Second)
	ups[1].Position = posn.Position{Offset: 5}
	behind := Request{From: site("alatau", "almaty"), MinPosition: posn.Position{Offset: 6}}
	require.Equal(t, []string{"p", "far", "near"}, names(ReadCandidates(ups, behind, now)))
	covered := Request{From: site("alatau", "almaty"), MinPosition: posn.Position{Offset: 5}}
	require.Equal(t, "near", ReadCandidates(ups, covered, now)[0].Name)
}
