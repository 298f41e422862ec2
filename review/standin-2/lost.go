package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// drain is how long a database serves after it has reported that it leaves.
	drain = 7300 * time.Millisecond
	// deafFor is how long a replica receives nothing.
	deafFor = 6 * time.Second
)

// runLost has a replica receive nothing for 5 s and all daemons killed at once, while two databases
// are handed back as planned: first the other replica, then the primary, which runs all the time and
// holds everything. Without the disruption only the databases are handed back.
func runLost(dir string, trouble bool) {
	w := newWorld(dir)
	gr := w.addGroup("huvo11a")
	first := gr.add("i-a000000001", "za", 2)
	behind := gr.add("i-b000000001", "zb", 2)
	leaving := gr.add("i-c000000001", "zc", 2)
	w.putConfig(3, 16, route{"lepu270", "primary", "huvo11a"})
	for _, zone := range []string{"za", "zb", "zc"} {
		w.addDaemon(zone)
	}
	var mu sync.Mutex
	answered := map[string]bool{}
	lost, promoted := []string{}, false
	gr.onPromoted = func(next *database) {
		promoted = true
		held := map[string]bool{}
		for _, en := range next.log {
			held[en.id] = true
		}
		mu.Lock()
		defer mu.Unlock()
		for id := range answered {
			if !held[id] {
				lost = append(lost, id)
				w.rec.add("LOST: commit %s was answered with success and is not in the log of %s, which is promoted", id, next.id)
			}
		}
	}
	w.startAll()
	time.Sleep(2 * time.Second)
	write := func(count int) {
		cl, err := w.dial("desk", w.daemons[0].frontend, "lepu270")
		if err != nil {
			w.fail("a session: %v", err)
		}
		defer cl.close()
		for num := range count {
			cl.next = len(answered)
			id, an := cl.query(fmt.Sprintf("WRITE k%d order", num))
			if an.failure == nil && an.err == "" {
				mu.Lock()
				answered[id] = true
				mu.Unlock()
			}
		}
	}
	write(3)
	set := func(change func()) {
		gr.mu.Lock()
		defer gr.mu.Unlock()
		change()
	}
	set(func() { leaving.draining = true })
	leaving.register()
	w.rec.add("database %s reports draining", leaving.id)
	time.Sleep(drain)
	if trouble {
		set(func() { behind.deaf = true })
		w.rec.add("database %s receives nothing for %v", behind.id, deafFor)
		time.AfterFunc(deafFor, func() {
			set(func() { behind.deaf = false })
			w.rec.add("database %s receives again", behind.id)
		})
	}
	write(5)
	leaving.leave()
	time.Sleep(700 * time.Millisecond)
	if trouble {
		for _, da := range w.daemons {
			da.kill()
		}
	}
	set(func() { first.draining = true })
	first.register()
	w.rec.add("database %s reports draining", first.id)
	if trouble {
		time.Sleep(200 * time.Millisecond)
		for _, da := range w.daemons {
			da.start()
		}
		w.awaitReady()
	}
	for until := time.Now().Add(12 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		isPromoted := false
		set(func() { isPromoted = promoted })
		if isPromoted {
			break
		}
	}
	time.Sleep(time.Second)
	w.finish(len(lost) > 0, "%d of %d commits that were answered with success are not in the log of the promoted database; promoted: %v", len(lost), len(answered), promoted)
}
