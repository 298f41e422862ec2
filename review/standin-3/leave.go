package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// leaving is the instance that is stopped.
	leaving = 1
	// grace is grace-s of the settings, of which an open transaction has the first half.
	grace = 6 * time.Second
	// pauseInside is the pause between two statements of the transaction, and pauses how many there are.
	pauseInside = 400 * time.Millisecond
	pauses      = 6
)

// playLeave stops an instance with SIGTERM while a session of it has written in a transaction, and goes on
// with the transaction for less than the first half of the grace period.
func playLeave(fl *fleet, hasTrouble bool) error {
	time.Sleep(time.Second)
	cl, err := fl.open("app-1", leaving, "strict")
	if err != nil {
		return err
	}
	defer cl.close()
	for _, text := range []string{"BEGIN", "WRITE k0 paid"} {
		if re, err := cl.query(text); err != nil || re.code != "" {
			return fmt.Errorf("%s: %s %v", text, re.code, err)
		}
	}
	began := time.Now()
	if hasTrouble {
		fl.signal(leaving, syscall.SIGTERM)
	}
	texts := make([]string, 0, pauses)
	for num := 1; num < pauses; num++ {
		texts = append(texts, fmt.Sprintf("WRITE k%d paid", num))
	}
	for _, text := range append(texts, "COMMIT") {
		time.Sleep(pauseInside)
		re, err := cl.query(text)
		if err != nil || re.code != "" {
			fl.rec.violate("DRAIN: %v after SIGTERM, before half of grace-s, the open transaction is ended at %s %s: %s %s %v",
				time.Since(began).Round(time.Millisecond), re.id, text, re.code, re.text, err)
			break
		}
	}
	if took := time.Since(began); took >= grace/2 {
		return fmt.Errorf("the statements took %v", took)
	}
	fl.checkKept(pauses)
	return nil
}

// checkKept compares the primary's log with the writes of the transaction.
func (fl *fleet) checkKept(count int) {
	fl.group.mu.Lock()
	defer fl.group.mu.Unlock()
	kept := 0
	if db := fl.group.leader(); db != nil {
		for _, en := range db.log {
			for key := range en.data {
				if strings.HasPrefix(key, "k") {
					kept++
				}
			}
		}
	}
	fl.rec.add("the primary keeps %d of %d writes of the transaction", kept, count)
}
