package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// crashFor is how long the primary is down, and storeAwayFor how long the store is.
	crashFor     = 7 * time.Second
	storeAwayFor = 4500 * time.Millisecond
	// returnDeafFor is how long the replica receives nothing.
	returnDeafFor = 6 * time.Second
)

// runReturn has a replica receive nothing for a while and the primary crash meanwhile, after the
// other replica has left as planned. The primary comes back with its log while the store is away.
// With STORE=up the store stays. Without the disruption only the replica leaves.
func runReturn(dir string, trouble bool) {
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
	lost := 0
	gr.onPromoted = func(next *database) {
		held := map[string]bool{}
		for _, en := range next.log {
			held[en.id] = true
		}
		mu.Lock()
		defer mu.Unlock()
		for id := range answered {
			if !held[id] {
				lost++
				w.rec.add("LOST: commit %s was answered with success and is not in the log of %s, which is promoted", id, next.id)
			}
		}
	}
	set := func(change func()) {
		gr.mu.Lock()
		defer gr.mu.Unlock()
		change()
	}
	write := func(from, count int) {
		cl, err := w.dial("desk", w.daemons[0].frontend, "lepu270")
		if err != nil {
			w.fail("a session: %v", err)
		}
		defer cl.close()
		cl.next = from
		for num := range count {
			id, an := cl.query(fmt.Sprintf("WRITE k%d order", num))
			if an.failure == nil && an.err == "" {
				mu.Lock()
				answered[id] = true
				mu.Unlock()
			}
		}
	}
	w.startAll()
	time.Sleep(2 * time.Second)
	write(0, 3)
	set(func() { leaving.draining = true })
	leaving.register()
	w.rec.add("database %s reports draining", leaving.id)
	time.Sleep(drain)
	if trouble {
		set(func() { behind.deaf = true })
		w.rec.add("database %s receives nothing for %v", behind.id, returnDeafFor)
		time.AfterFunc(returnDeafFor, func() {
			set(func() { behind.deaf = false })
			w.rec.add("database %s receives again", behind.id)
		})
	}
	write(100, 5)
	leaving.goSilent()
	time.Sleep(700 * time.Millisecond)
	if trouble {
		first.crash()
		time.Sleep(crashFor - 500*time.Millisecond)
		if os.Getenv("STORE") != "up" {
			w.st.isAway.Store(true)
			w.rec.add("store: is away for %v and answers everybody with 503", storeAwayFor)
			time.AfterFunc(storeAwayFor, func() {
				w.st.isAway.Store(false)
				w.rec.add("store: is back")
			})
		}
		time.Sleep(500 * time.Millisecond)
		first.comeBack("i-d000000001")
	}
	time.Sleep(9 * time.Second)
	mu.Lock()
	count := lost
	mu.Unlock()
	w.finish(count > 0, "%d of %d commits that were answered with success are not in the log of a promoted database", count, len(answered))
}
