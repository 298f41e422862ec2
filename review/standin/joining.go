package main

import (
	"fmt"
	"sync"
	"time"
)

// rolling is a set of services whose databases are replaced by planned work, round by
// round. The primaries are in zone a, as long as the system does not move them.
type rolling struct {
	fleet *fleet
	lost  lostCommits
	// mu guards newest, which holds the newest database of each service and zone.
	mu     sync.Mutex
	newest map[string]*database
	rounds map[string]int
}

const (
	rollingServices = 20
	rollingRounds   = 4
	// roundTime is the time between two rounds.
	roundTime = 17.0
	// aheadTime is how long before an old database leaves the new one starts.
	aheadTime = 1.0
)

// newRolling starts the services and the daemons. The daemon in zone c starts first.
func newRolling() *rolling {
	ro := &rolling{fleet: newFleet(rollingServices, "c", "a", "b"), newest: map[string]*database{}, rounds: map[string]int{}}
	for _, gr := range ro.fleet.groups {
		ro.lost.watch(gr)
		for _, zone := range []string{"a", "b", "c"} {
			ro.newest[gr.name+zone] = gr.start(fmt.Sprintf("i-%s-%s0", gr.name, zone), zone, zone == "a")
		}
	}
	ro.fleet.startAll()
	return ro
}

// replaceAt replaces the database of a service in a zone: the new one starts at the time
// given, and the old one announces its shutdown aheadTime later.
func (ro *rolling) replaceAt(at float64, gr *group, zone string) {
	after(at, func() {
		ro.mu.Lock()
		defer ro.mu.Unlock()
		key := gr.name + zone
		ro.rounds[key]++
		old := ro.newest[key]
		ro.newest[key] = gr.start(fmt.Sprintf("i-%s-%s%d", gr.name, zone, ro.rounds[key]), zone, false)
		old.releaseAt(aheadTime)
	})
}

// run runs consumers for all rounds and returns the verdict.
func (ro *rolling) run() bool {
	length := time.Duration((3 + roundTime*rollingRounds) * float64(time.Second))
	clients, running := ro.fleet.runWriters(3, 25*time.Millisecond, time.Now().Add(length))
	running.Wait()
	count := ro.lost.countAnswered(clients)
	return verdict(count > 0, "%d commits that were answered with success are not in the log of the database that was promoted", count)
}

// joiningReplica: the databases of each service are replaced one after the other, so that a
// new database joins while the primary is being replaced. There is no other disruption.
func joiningReplica() bool {
	ro := newRolling()
	// stepTime is the time between two steps.
	const stepTime = 1.7
	for num, gr := range ro.fleet.groups {
		for round := range rollingRounds {
			for pos, zone := range []string{"a", "b", "c"} {
				if isTrouble {
					ro.replaceAt(3+roundTime*float64(round)+stepTime*float64(pos)+0.03*float64(num), gr, zone)
				}
			}
		}
	}
	return ro.run()
}

// restartedReplica: the primary of each service is replaced by planned work, and meanwhile
// the replica in zone b crashes and starts again.
func restartedReplica() bool {
	ro := newRolling()
	for num, gr := range ro.fleet.groups {
		if isTrouble {
			gr.onPause = func(db *database) {
				if db.zone == "b" {
					after(0.1, func() { db.crashFor(200 * time.Millisecond) })
				}
			}
		}
		for round := range rollingRounds {
			ro.replaceAt(3+roundTime*float64(round)+0.03*float64(num), gr, "a")
		}
	}
	return ro.run()
}
