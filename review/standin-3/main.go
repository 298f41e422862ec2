// Command standin-3 plays a case of the review: it starts the system's processes before stand-ins of the
// users' store, databases and consumers, and checks a rule. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		os.Exit(2)
	}
}

// cases holds, by name, the number of instances and the play of a case. A play returns an error if the case
// could not run.
var cases = map[string]struct {
	instances int
	play      func(fl *fleet, hasTrouble bool) error
}{
	"leave":  {5, playLeave},
	"values": {5, playValues},
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/banyanspringd", "the system's program")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *program, *record))
}

func play(name, program, record string) int {
	ca, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin-3: unknown case", name)
		return 2
	}
	file, err := os.Create(record)
	must(err)
	defer func() { _ = file.Close() }()
	rec := &recorder{file: file, began: time.Now()}
	fl := newFleet(rec, program, ca.instances)
	go fl.stopAtSignal()
	err = fmt.Errorf("the instances are not ready")
	if fl.awaitReady() {
		err = ca.play(fl, os.Getenv("TROUBLE") != "0")
	}
	if fl.stop() {
		rec.violate("a process has ended by itself")
	}
	switch {
	case rec.broken() > 0:
		fmt.Println("broken", rec.broken(), "times, see", record)
		return 1
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	fmt.Println("held")
	return 0
}
