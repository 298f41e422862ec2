package main

import (
	"strings"
	"time"
)

// maxMessage is the limit of the pages for a message: its kind and its fields.
const maxMessage = 1 << 20

// runMixed has consumers read an item whose row is a message of exactly the largest size.
// Without the disruption the row is 64 bytes shorter.
func runMixed(dir string, trouble bool) {
	w := newWorld(dir)
	gr := w.addGroup("huvo11a")
	for pos, zone := range []string{"za", "zb", "zc"} {
		gr.add("i-"+string(rune('a'+pos))+"000000001", zone, 2)
	}
	size := maxMessage
	if !trouble {
		size -= 64
	}
	row := "DATAROW " + strings.Repeat("x", size-len("DATAROW "))
	gr.rows = func(item string) (string, time.Duration, bool) {
		return row, 8 * time.Millisecond, item == "sheet"
	}
	w.putConfig(3, 16, route{"lepu270", "bounded_staleness", "huvo11a"}, route{"fiti832", "read_your_writes", "huvo11a"})
	for _, zone := range []string{"za", "zb", "zc"} {
		w.addDaemon(zone)
	}
	w.startAll()
	time.Sleep(3 * time.Second)
	broken, foreign, served := 0, 0, 0
	for round := range 20 {
		da := w.daemons[round%len(w.daemons)]
		reader, err := w.dial("reader", da.frontend, "lepu270")
		if err != nil {
			w.fail("a session: %v", err)
		}
		reader.next = 100 * round
		_, an := reader.query("READ sheet")
		if an.failure == nil && an.err == "" {
			served++
			if len(an.rows) != 1 || len(an.rows[0]) != size-len("DATAROW ") {
				broken++
				w.rec.add("MIXED: a success without the row of the database")
			}
		}
		reader.close()
		other, err := w.dial("other", da.frontend, "lepu270")
		if err != nil {
			w.fail("a session: %v", err)
		}
		other.next = 100 * round
		for range 6 {
			id, an := other.query("READ 1a4")
			isOwn := strings.HasSuffix(an.receipt, "-"+id) && len(an.rows) == 1
			if an.failure == nil && an.err == "" && !isOwn {
				foreign++
				w.rec.add("MIXED: %s got a success with the receipt %s", id, an.receipt)
			}
		}
		other.close()
		time.Sleep(150 * time.Millisecond)
	}
	w.finish(broken+foreign > 0, "of 20 reads of the long row %d were successes, %d of these without the row; %d other reads got another receipt or other rows",
		served, broken, foreign)
}
