package member

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanspring/core/catlg"
)

// clocked is a member whose clock the test moves.
type clocked struct {
	*Member
	now time.Time
}

func newClocked() *clocked {
	cl := &clocked{now: time.Unix(1_000_000, 0)}
	cl.Member = New(Settings{Name: "self"}, Seams{Now: func() time.Time { return cl.now }},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	return cl
}

// equip makes all known but the members.
func (cl *clocked) equip() {
	cl.isListed.Store(true)
	cl.offerCatalog(catlg.New(1, time.Second, nil, nil))
}

// The pattern cold_start_of_a_whole_fleet: instances that know the upstreams and
// not each other would each take the connections of a fleet of one.
func TestMemberWaitsForTheListOfMembers(t *testing.T) {
	cl := newClocked()
	cl.equip()
	cl.now = cl.now.Add(membersPatience - time.Millisecond)
	cl.noteReady()
	require.False(t, cl.IsReady())
	cl.roster.replace(nil, 5)
	cl.noteReady()
	require.True(t, cl.IsReady())
}

func TestMemberServesWithoutTheListOfMembersInTheEnd(t *testing.T) {
	cl := newClocked()
	cl.now = cl.now.Add(time.Hour)
	cl.equip()
	require.False(t, cl.IsReady())
	cl.now = cl.now.Add(membersPatience)
	cl.noteReady()
	require.True(t, cl.IsReady())
}
