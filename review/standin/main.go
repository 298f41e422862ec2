// Command standin runs one case of the review: it starts the system's own program before
// stand-ins of the platform, the databases and the consumers, and checks one rule.
//
//	standin CASE RECORD
//
// It is run in the repository's root. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is
// left out.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

var (
	startedAt  = time.Now()
	recordMu   sync.Mutex
	recordFile *bufio.Writer
	isTrouble  = os.Getenv("TROUBLE") != "0"
	current    *fleet
)

// record adds a line to the record.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordFile, "%9.4f %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// giveUp ends a case that cannot run.
func giveUp(format string, args ...any) {
	record("the case could not run: "+format, args...)
	_, _ = fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	finish(2)
}

func finish(code int) {
	if current != nil {
		current.stop()
	}
	recordMu.Lock()
	_ = recordFile.Flush()
	os.Exit(code)
}

var cases = map[string]func() bool{
	"live-primary":      livePrimary,
	"joining-replica":   joiningReplica,
	"restarted-replica": restartedReplica,
	"line-feed":         lineFeed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recordFile = bufio.NewWriter(file)
	time.AfterFunc(110*time.Second, func() { giveUp("it takes too long") })
	if cases[os.Args[1]]() {
		finish(1)
	}
	finish(0)
}

// verdict reports the outcome of a case.
func verdict(isBroken bool, format string, args ...any) bool {
	word := "the rule held: "
	if isBroken {
		word = "THE RULE IS BROKEN: "
	}
	record(word+format, args...)
	fmt.Printf(word+format+"\n", args...)
	return isBroken
}

// lostCommits collects the commits that were acknowledged and are not in the log of a
// database when it is promoted.
type lostCommits struct {
	mu    sync.Mutex
	found []string
}

// watch has a group report its promotions.
func (lc *lostCommits) watch(gr *group) {
	gr.onPromote = func(to *database) {
		has := map[string]bool{}
		for _, en := range to.log {
			has[en.id] = true
		}
		lc.mu.Lock()
		defer lc.mu.Unlock()
		for id, en := range gr.acked {
			if !has[id] {
				lc.found = append(lc.found, id)
				record("acknowledged commit %s, %d.%d of %s, is not in the log of %s, which is promoted", id, en.term, en.number, gr.name, to.id)
			}
		}
	}
}

// countAnswered returns how many of the lost commits were answered with success.
func (lc *lostCommits) countAnswered(clients []*client) int {
	answered := map[string]bool{}
	for _, id := range lc.found {
		for _, cl := range clients {
			if _, ok := cl.succeeded[id]; ok {
				answered[id] = true
			}
		}
	}
	return len(answered)
}

// startAll starts the daemons, within 0.3 s and in the order given, and waits until they
// are ready.
func (fl *fleet) startAll() {
	current = fl
	fl.putConfig()
	for _, da := range fl.daemons {
		fl.start(da)
		time.Sleep(80 * time.Millisecond)
	}
	fl.awaitReady()
	time.Sleep(3 * time.Second)
}

// runWriters runs consumers of each service until the time given.
func (fl *fleet) runWriters(each int, pause time.Duration, until time.Time) ([]*client, *sync.WaitGroup) {
	var clients []*client
	var running sync.WaitGroup
	for _, gr := range fl.groups {
		for num := range each {
			cl := newClient(fmt.Sprintf("%s-c%d", gr.name, num), gr.name+"-db", fl.fronts(), uint64(len(clients)+1))
			clients = append(clients, cl)
			running.Add(1)
			go func() {
				defer running.Done()
				cl.write(until, pause)
			}()
		}
	}
	return clients, &running
}

func after(seconds float64, do func()) {
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), do)
}

// lingerTime is how long a database that is leaving goes on after drainTime.
const lingerTime = 2 * time.Second

// releaseAt ends a database by a planned shutdown that is announced after the time given.
func (db *database) releaseAt(seconds float64) {
	after(seconds, db.drain)
	after(seconds+(drainTime+lingerTime).Seconds(), db.leave)
}

// livePrimary: a replica receives nothing for a while, and the other one leaves meanwhile.
// The primary runs all the time.
func livePrimary() bool {
	fl := newFleet(1, "a", "b", "c")
	gr := fl.groups[0]
	gr.start("i-one", "a", true)
	two := gr.start("i-two", "b", false)
	three := gr.start("i-three", "c", false)
	var lost lostCommits
	lost.watch(gr)
	fl.startAll()
	clients, running := fl.runWriters(4, 20*time.Millisecond, time.Now().Add(18*time.Second))
	two.releaseAt(1)
	if isTrouble {
		after(8, func() { three.setDeaf(true) })
		after(14, func() { three.setDeaf(false) })
	}
	running.Wait()
	count := lost.countAnswered(clients)
	return verdict(count > 0, "%d commits that were answered with success are not in the log of the database that was promoted", count)
}
