package main

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

const (
	// victim is the instance whose session rests in a transaction. Those from firstCutOff on do not reach
	// the primary: two of five.
	victim, firstCutOff = 1, 3
	cutTime             = 3500 * time.Millisecond
	lossyTime           = 900 * time.Millisecond
)

// playValues has a primary replaced, since two instances do not reach it, while a session of another
// instance rests in a transaction. The session then sets a value, and the
// answer to its next statement is late, since packets are lost.
func playValues(fl *fleet, hasTrouble bool) error {
	cl, err := fl.open("app-1", victim, "own")
	if err != nil {
		return err
	}
	defer cl.close()
	// Traffic of the instance that is cut off, by which the fleet notices that it does not reach the primary.
	stop := make(chan struct{})
	defer close(stop)
	for num := firstCutOff; num < len(fl.instances); num++ {
		go fl.traffic(num, stop)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, text := range []string{"BEGIN", "READ k1"} {
		if re, err := cl.query(text); err != nil || re.code != "" {
			return fmt.Errorf("%s: %s %w", text, re.code, err)
		}
	}
	first := fl.group.leaderID()
	if hasTrouble {
		fl.cutOff(first, true)
		time.AfterFunc(cutTime, func() { fl.cutOff(first, false) })
		if !await(6*time.Second, func() bool { id := fl.group.leaderID(); return id != "" && id != first }) {
			return errors.New("the primary was not replaced")
		}
		time.Sleep(50 * time.Millisecond)
	}
	if _, err := cl.query("SET schema eu"); err != nil {
		return err
	}
	if hasTrouble {
		fl.rec.add("link: %s loses the packets of %s", first, fl.instances[victim].name)
		fl.links.setLossy(fl.instances[victim].name, first, true)
		time.AfterFunc(lossyTime, func() { fl.links.setLossy(fl.instances[victim].name, first, false) })
	}
	if _, err := cl.query("READ k1"); err != nil {
		return err
	}
	if _, err := cl.query("ROLLBACK"); err != nil {
		return err
	}
	// The consumer does its work again. Others with the same values do the same.
	time.Sleep(2 * time.Second)
	for range 150 {
		if _, err := cl.query("READ k1"); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	fl.checkValues(cl)
	return nil
}

// cutOff begins or ends the cut between the database and the instances from firstCutOff on.
func (fl *fleet) cutOff(id string, isCut bool) {
	for _, in := range fl.instances[firstCutOff:] {
		fl.rec.add("%s does not reach %s: %t", in.name, id, isCut)
		fl.links.setCut(in.name, id, isCut)
	}
}

// traffic runs writes through an instance until it is stopped.
func (fl *fleet) traffic(num int, stop <-chan struct{}) {
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		cl, err := fl.open(fmt.Sprintf("other-%d-%d", num, count), num, "strict")
		if err != nil {
			continue
		}
		_, _ = cl.query(fmt.Sprintf("WRITE t%d-%d x", num, count))
		cl.close()
	}
}

// checkValues compares the session values with which statements ran with those that were acknowledged to
// the consumer before it sent them.
func (fl *fleet) checkValues(cl *client) {
	fl.group.mu.Lock()
	defer fl.group.mu.Unlock()
	for _, ru := range fl.group.runs {
		if want, ok := cl.sent[ru.id]; ok && ru.code == "OK" && !maps.Equal(want, ru.values) {
			fl.rec.violate("PINNED: %s ran %s %s on connection %d with values %v, acknowledged were %v",
				ru.database, ru.id, ru.text, ru.conn, ru.values, want)
		}
	}
}
