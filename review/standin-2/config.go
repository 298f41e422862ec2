package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// turnedAway is how many of the six daemons the store turns away.
	turnedAway = 2
	// configBound is config-apply-ms and max-skew-ms together, with 500 ms to spare.
	configBound = 15500 * time.Millisecond
	// awayFor is for how long the store turns them away, twice in a row.
	awayFor = 9 * time.Second
)

// runConfig has the store turn two of six daemons away, and serve the others, while the operator
// moves a route to another service.
func runConfig(dir string, trouble bool) {
	w := newWorld(dir)
	for num, name := range []string{"huvo11a", "kafi81c"} {
		gr := w.addGroup(name)
		for pos, zone := range []string{"za", "zb", "zc"} {
			gr.add(fmt.Sprintf("i-%c%09d", "abc"[pos], num), zone, 2)
		}
	}
	w.putConfig(3, 16, route{"lepu270", "primary", "huvo11a"}, route{"other", "primary", "kafi81c"})
	for _, zone := range []string{"za", "zb", "zc", "za", "zb", "zc"} {
		w.addDaemon(zone)
	}
	w.startAll()
	time.Sleep(3 * time.Second)
	if trouble {
		names := w.st.oldest("banyanspring-members")
		for _, da := range w.daemons {
			for _, name := range names[:turnedAway] {
				if da.name == name {
					da.door.isShut.Store(true)
					w.rec.add("store: turns %s away with 503, for %v and again for %v", name, awayFor, awayFor)
					time.AfterFunc(2*awayFor, func() {
						da.door.isShut.Store(false)
						w.rec.add("store: serves %s again", name)
					})
				}
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	w.putConfig(7, 16, route{"lepu270", "primary", "kafi81c"}, route{"other", "primary", "kafi81c"})
	w.rec.add("store: configuration 7 is acknowledged: lepu270 belongs to kafi81c")
	time.Sleep(configBound)
	wrong, served := 0, 0
	for _, da := range w.daemons {
		cl, err := w.dial("desk-"+da.name, da.frontend, "lepu270")
		if err != nil {
			w.rec.add("consumer has no session at %s: %v", da.name, err)
			continue
		}
		id, an := cl.query("WRITE k1 order")
		cl.close()
		if an.failure != nil || an.err != "" {
			continue
		}
		served++
		for _, gr := range w.groups {
			gr.mu.Lock()
			_, isHere := gr.acked[id]
			gr.mu.Unlock()
			if isHere && !strings.HasPrefix(gr.name, "kafi") {
				wrong++
				w.rec.add("CONFIG: %s ran at %s, the service of the former version", id, gr.name)
			}
		}
	}
	if served == 0 {
		w.fail("no write was served")
	}
	w.finish(wrong > 0, "%d of %d writes were run by the service of the former configuration, %v after the newer one was acknowledged", wrong, served, configBound)
}
