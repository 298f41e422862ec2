package main

import (
	"fmt"
	"time"
)

// lineFeed: a consumer writes a value that contains a line feed. A message ends with CR LF,
// so the rest of the value is no message of its own.
func lineFeed() bool {
	fl := newFleet(1, "a", "b", "c")
	gr := fl.groups[0]
	gr.start("i-one", "a", true)
	gr.start("i-two", "b", false)
	gr.start("i-three", "c", false)
	fl.startAll()
	var inner []string
	for num := range 5 {
		cl := newClient(fmt.Sprintf("c%d", num), gr.name+"-db", fl.fronts(), uint64(num+1))
		if !cl.open() {
			giveUp("a session was refused")
		}
		cl.ask(cl.newID(), "WRITE stock 7")
		id, within := cl.newID(), fmt.Sprintf("inner%d", num)
		inner = append(inner, within)
		text := "WRITE note call back"
		if isTrouble {
			text += "\nQUERY " + within + " WRITE stock 0"
		}
		cl.ask(id, text)
		time.Sleep(300 * time.Millisecond)
		cl.close()
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	count := 0
	for _, id := range inner {
		if text, ok := gr.runs[id]; ok {
			count++
			record("a database ran %s, which no consumer sent: %q", id, text)
		}
	}
	return verdict(count > 0, "%d statements that were inside the value of another one were run", count)
}
