package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// promoteTime is how long a promotion takes, and replicaLag how long after its arrival a replica
	// applies an entry: those of a small deployment of the users' pages.
	promoteTime = 600 * time.Millisecond
	replicaLag  = 20 * time.Millisecond
	// workTime is how long a read, a write or a commit takes.
	workTime       = 3 * time.Millisecond
	slots          = 2
	queueLength    = 16
	maxConnections = 16
	replicateEvery = 2 * time.Millisecond
	beatInterval   = 1200 * time.Millisecond
	serviceName    = "orders"
)

// entry is one commit in a log.
type entry struct {
	term   uint64
	number int
	id     string
	data   map[string]string
}

// group is a stand-in for a service of replicated databases. All share one lock.
type group struct {
	rec   *recorder
	store *store

	mu        sync.Mutex
	databases map[string]*database
	term      uint64
	// acknowledged holds the commits that were acknowledged to a caller of a database.
	acknowledged []entry
	conns        int
	// runs holds what was run, in order.
	runs []run
}

// run is one statement of a consumer that a database has run.
type run struct {
	database, id, text string
	conn               int
	values             map[string]string
	code               string
}

type database struct {
	gr      *group
	id      string
	zone    string
	born    int64
	address string
	front   string
	ln      net.Listener
	busy    chan struct{}
	waiting int
	open    map[net.Conn]bool

	leads bool
	// term is the newest one that the database knows.
	term   uint64
	log    []entry
	recvAt []time.Time
	// paused is the term of the pause; 0 if the database receives.
	paused     uint64
	isDown     bool
	isDraining bool
	// isDeaf databases receive nothing.
	isDeaf bool
}

func newGroup(rec *recorder) *group {
	return &group{rec: rec, databases: make(map[string]*database), term: 1}
}

// add starts a database, which has the leader's log after a moment.
func (gr *group) add(id, zone string, leads bool) *database {
	db := &database{
		gr: gr, id: id, zone: zone, leads: leads, term: 1, born: time.Now().UnixMilli(),
		busy: make(chan struct{}, slots), open: make(map[net.Conn]bool),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	db.ln, db.address = ln, ln.Addr().String()
	db.front = db.address
	go db.accept(ln)
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.databases[id] = db
	return db
}

// run replicates and checks in until the process ends.
func (gr *group) run() {
	beatAt := time.Now()
	for range time.Tick(replicateEvery) {
		gr.mu.Lock()
		gr.replicate()
		gr.mu.Unlock()
		if now := time.Now(); !now.Before(beatAt) {
			beatAt = now.Add(beatInterval)
			gr.checkIn()
		}
	}
}

// checkIn has all databases write their entries.
func (gr *group) checkIn() {
	gr.mu.Lock()
	beats := make([]*database, 0, len(gr.databases))
	for _, db := range gr.databases {
		beats = append(beats, db)
	}
	gr.mu.Unlock()
	for _, db := range beats {
		db.register()
	}
}

// register writes the database's entry.
func (db *database) register() {
	db.gr.mu.Lock()
	role, state := "replica", "ready"
	if db.leads {
		role = "primary"
	}
	if db.isDraining {
		state = "draining"
	}
	spec := map[string]any{
		"service": serviceName, "address": db.front, "zone": db.zone, "version": "1.0", "capacity": slots, "state": state,
		"warmup-left-ms": 0, "sequence": 1, "db-role": role, "born": db.born,
	}
	db.gr.mu.Unlock()
	db.gr.store.put("servers", db.id, spec)
}

// leader returns the database that leads, or nil; mu is held.
func (gr *group) leader() *database {
	for _, db := range gr.databases {
		if db.leads && !db.isDown {
			return db
		}
	}
	return nil
}

func (gr *group) isUp(id string) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	db := gr.databases[id]
	return db != nil && !db.isDown
}

func (gr *group) isLeader(id string) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	db := gr.databases[id]
	return db != nil && !db.isDown && db.leads
}

// leaderID returns the ID of the leader; empty if there is none.
func (gr *group) leaderID() string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if db := gr.leader(); db != nil {
		return db.id
	}
	return ""
}

// replicate copies the leader's log to the replicas that receive; mu is held.
func (gr *group) replicate() {
	from := gr.leader()
	if from == nil {
		return
	}
	now := time.Now()
	for _, db := range gr.databases {
		if db == from || db.isDown || db.isDeaf || db.paused > 0 || from.isDeaf || len(db.log) > len(from.log) {
			continue
		}
		db.term = max(db.term, from.term)
		for pos := len(db.log); pos < len(from.log); pos++ {
			db.log, db.recvAt = append(db.log, from.log[pos]), append(db.recvAt, now)
		}
	}
}

// applied returns how many entries are visible at the database; mu is held.
func (db *database) applied() int {
	if db.leads {
		return len(db.log)
	}
	count := len(db.log)
	for count > 0 && time.Since(db.recvAt[count-1]) < replicaLag {
		count--
	}
	return count
}

// position formats the position of the first count entries; mu is held.
func (db *database) position(count int) string {
	if count == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", db.log[count-1].term, db.log[count-1].number)
}

// isReceived reports whether another database has received the entry at the position; mu is held.
func (gr *group) isReceived(from *database, pos int) bool {
	for _, db := range gr.databases {
		if db != from && !db.isDown && len(db.log) > pos && db.log[pos].id == from.log[pos].id {
			return true
		}
	}
	return false
}

// promote makes a database the leader of the next term, with what it has received.
func (gr *group) promote(id string) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	next := gr.databases[id]
	if next == nil || next.isDown || next.leads {
		return
	}
	held := make(map[string]bool)
	for _, en := range next.log {
		held[en.id] = true
	}
	for _, en := range gr.acknowledged {
		if !held[en.id] {
			gr.rec.violate("LOST: the acknowledged commit %s (%d.%d) is not in the log of %s, which is promoted", en.id, en.term, en.number, id)
		}
	}
	gr.term++
	for _, db := range gr.databases {
		db.leads = db == next
		if !db.isDown {
			db.paused, db.term = 0, gr.term
		}
		if len(db.log) > len(next.log) {
			db.log, db.recvAt = db.log[:len(next.log)], db.recvAt[:len(next.log)]
		}
	}
	gr.rec.add("databases: %s leads term %d with position %s", id, gr.term, next.position(len(next.log)))
	go gr.checkIn()
}
