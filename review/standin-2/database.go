package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one commit in a log.
type entry struct {
	term   uint64
	number int
	id     string
	items  map[string]string
	at     time.Time
}

// group is a service: a primary and its replicas. One lock guards all of them.
type group struct {
	name      string
	st        *store
	rec       *recorder
	mu        sync.Mutex
	cond      *sync.Cond
	term      uint64
	fence     uint64
	promoteIn time.Duration
	databases []*database
	// acked holds the commits that were acknowledged to a daemon.
	acked map[string]entry
	// rows, if set, returns the rows of an item, and the pause before the rest of the answer.
	rows func(item string) (string, time.Duration, bool)
	// onPromoted is called with mu held before another database leads.
	onPromoted func(db *database)
}

// database is one server of a group.
type database struct {
	gr       *group
	id       string
	zone     string
	address  string
	born     int64
	ln       net.Listener
	conns    map[net.Conn]bool
	leads    bool
	up       bool
	deaf     bool
	draining bool
	// hasLeft is true once the database has ended as planned.
	hasLeft bool
	// isSilent is true if nothing answers at the address any more, as with a machine without power.
	isSilent bool
	frozen   uint64
	log      []entry
	slots    chan struct{}
	work     time.Duration
	sequence int
	// applyDelay is how long after its arrival a commit is visible on a replica.
	applyDelay time.Duration
}

func newGroup(name string, st *store, rec *recorder) *group {
	gr := &group{name: name, st: st, rec: rec, term: 1, promoteIn: 600 * time.Millisecond, acked: map[string]entry{}}
	gr.cond = sync.NewCond(&gr.mu)
	go gr.replicate()
	return gr
}

// add starts a database. The first one leads.
func (gr *group) add(id, zone string, capacity int) *database {
	db := &database{
		gr: gr, id: id, zone: zone, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, up: true,
		slots: make(chan struct{}, capacity), work: 3 * time.Millisecond, applyDelay: 20 * time.Millisecond,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	db.ln, db.address = ln, ln.Addr().String()
	gr.mu.Lock()
	db.leads = len(gr.databases) == 0
	first := entry{term: 1, number: 1, id: "first", items: map[string]string{}, at: time.Now()}
	db.log = []entry{first}
	gr.databases = append(gr.databases, db)
	gr.mu.Unlock()
	go db.accept(ln)
	go db.beat()
	return db
}

// beat writes the entry in the store, and has it removed after three intervals of silence.
func (db *database) beat() {
	const interval = 1200 * time.Millisecond
	missed := 0
	for {
		db.gr.mu.Lock()
		up, hasLeft := db.up, db.hasLeft
		db.gr.mu.Unlock()
		if hasLeft {
			return
		}
		if up {
			missed = 0
			db.register()
		} else if missed++; missed == 3 {
			db.gr.st.remove("servers", db.id)
			db.gr.rec.add("store: the entry of %s is removed", db.id)
		}
		time.Sleep(interval)
	}
}

func (db *database) register() {
	if db.gr.st.isAway.Load() {
		return
	}
	db.gr.mu.Lock()
	db.sequence++
	role, state := "replica", "ready"
	if db.leads {
		role = "primary"
	}
	if db.draining {
		state = "draining"
	}
	spec := map[string]any{
		"service": db.gr.name, "address": db.address, "zone": db.zone, "version": "v1", "capacity": cap(db.slots), "state": state,
		"warmup-left-ms": 0, "db-role": role, "sequence": db.sequence, "born": db.born,
	}
	db.gr.mu.Unlock()
	db.gr.st.put("servers", db.id, spec)
}

// replicate delivers the primary's log to the replicas that receive it.
func (gr *group) replicate() {
	for {
		time.Sleep(2 * time.Millisecond)
		gr.mu.Lock()
		if lead := gr.primary(); lead != nil {
			for _, db := range gr.databases {
				if db != lead && db.up && !db.deaf && db.frozen == 0 && len(db.log) < len(lead.log) {
					for _, en := range lead.log[len(db.log):] {
						en.at = time.Now()
						db.log = append(db.log, en)
					}
				}
			}
		}
		gr.cond.Broadcast()
		gr.mu.Unlock()
	}
}

// primary returns the running primary; mu is held.
func (gr *group) primary() *database {
	for _, db := range gr.databases {
		if db.leads && db.up {
			return db
		}
	}
	return nil
}

// failover is the platform's call.
func (gr *group) failover(id string, token uint64) int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if token < gr.fence {
		return 409
	}
	gr.fence = token
	var next *database
	for _, db := range gr.databases {
		if db.id == id && db.up {
			next = db
		}
	}
	if next == nil {
		return 409
	}
	if next.leads {
		return 200
	}
	time.AfterFunc(gr.promoteIn, func() { gr.promote(next) })
	return 200
}

func (gr *group) promote(next *database) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if !next.up || next.leads {
		return
	}
	if gr.onPromoted != nil {
		gr.onPromoted(next)
	}
	gr.term++
	gr.rec.add("platform: %s leads term %d with %s", next.id, gr.term, next.position())
	for _, db := range gr.databases {
		db.leads, db.frozen = db == next, 0
		if len(db.log) > len(next.log) {
			db.log = append([]entry(nil), next.log...)
		}
		go db.register()
	}
	gr.cond.Broadcast()
}

// crash ends the process of a database; its log is kept.
func (db *database) crash() {
	db.gr.mu.Lock()
	defer db.gr.mu.Unlock()
	db.up = false
	_ = db.ln.Close()
	for raw := range db.conns {
		_ = raw.Close()
	}
	db.gr.rec.add("database %s has ended with its log at %s", db.id, db.position())
	db.gr.cond.Broadcast()
}

// comeBack starts a crashed database again: a new one at its address with its log. It leads if no
// other database was promoted.
func (db *database) comeBack(id string) {
	gr := db.gr
	ln, err := net.Listen("tcp", db.address)
	must(err)
	gr.mu.Lock()
	next := &database{
		gr: gr, id: id, zone: db.zone, address: db.address, born: time.Now().UnixMilli(), ln: ln, conns: map[net.Conn]bool{}, up: true,
		leads: db.leads && gr.primary() == nil, log: db.log, slots: make(chan struct{}, cap(db.slots)), work: db.work, applyDelay: db.applyDelay,
	}
	db.leads = false
	gr.databases = append(gr.databases, next)
	gr.rec.add("database %s has come back at its address as %s, with its log at %s, as %s", db.id, id, next.position(), next.role())
	gr.mu.Unlock()
	go next.accept(ln)
	go next.beat()
}

// leave ends the process of a database as planned.
func (db *database) leave() {
	db.crash()
	db.gr.mu.Lock()
	db.hasLeft = true
	db.gr.mu.Unlock()
	db.gr.st.remove("servers", db.id)
	db.gr.rec.add("database %s has left, and its entry is removed", db.id)
}

// goSilent ends a database as planned together with its machine, so that nothing refuses connections.
func (db *database) goSilent() {
	db.gr.mu.Lock()
	db.up, db.hasLeft, db.isSilent = false, true, true
	for raw := range db.conns {
		_ = raw.Close()
	}
	db.gr.mu.Unlock()
	db.gr.st.remove("servers", db.id)
	db.gr.rec.add("database %s has left with its machine, and its entry is removed", db.id)
}

func (db *database) accept(ln net.Listener) {
	for {
		raw, err := ln.Accept()
		if err != nil {
			return
		}
		go db.serve(raw)
	}
}

// position returns the end of the log; mu is held.
func (db *database) position() string {
	last := db.log[len(db.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

func (db *database) role() string {
	if db.leads {
		return "primary"
	}
	return "replica"
}

// hasPosition reports whether the applied log has a position; mu is held.
func (db *database) hasPosition(text string) bool {
	term, number, _ := strings.Cut(text, ".")
	te, _ := strconv.ParseUint(term, 10, 64)
	nu, _ := strconv.Atoi(number)
	last := db.applied()
	return last.term > te || (last.term == te && last.number >= nu)
}

// applied returns the newest visible commit; mu is held.
func (db *database) applied() entry {
	for pos := len(db.log) - 1; pos > 0; pos-- {
		if db.leads || time.Since(db.log[pos].at) >= db.applyDelay {
			return db.log[pos]
		}
	}
	return db.log[0]
}

// conn is one connection to a database.
type conn struct {
	db       *database
	tx       bool
	readOnly bool
	failed   bool
	// values holds the lengths of the session's values.
	values   map[string]int
	prepared map[string]string
	pending  map[string]string
	writer   string
}

func (db *database) serve(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	gr := db.gr
	gr.mu.Lock()
	if db.isSilent {
		gr.mu.Unlock()
		_, _ = io.Copy(io.Discard, raw)
		return
	}
	if !db.up {
		gr.mu.Unlock()
		return
	}
	db.conns[raw] = true
	gr.mu.Unlock()
	defer func() {
		gr.mu.Lock()
		delete(db.conns, raw)
		gr.mu.Unlock()
	}()
	rd := bufio.NewReaderSize(raw, 64<<10)
	line, err := rd.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != gr.name || (len(fields) > 3 && fields[3] != db.id) {
		_, _ = fmt.Fprintf(raw, "ERROR WRONGNODE %s\r\n", db.id)
		return
	}
	co := &conn{db: db, values: map[string]int{}, prepared: map[string]string{}}
	gr.mu.Lock()
	hello := "READY I " + db.position() + "\r\n"
	gr.mu.Unlock()
	_, _ = fmt.Fprint(raw, hello)
	for {
		line, err := rd.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "QUERY ") {
			return
		}
		id, text, _ := strings.Cut(strings.TrimSuffix(strings.TrimPrefix(line, "QUERY "), "\r\n"), " ")
		rows, end, pause := co.run(id, text)
		if pause > 0 {
			if _, err := fmt.Fprint(raw, rows); err != nil {
				return
			}
			time.Sleep(pause)
			rows = ""
		}
		gr.mu.Lock()
		state := "I"
		if co.failed {
			state = "E"
		} else if co.tx {
			state = "T"
		}
		ready := "READY " + state + " " + db.position() + "\r\n"
		up := db.up
		gr.mu.Unlock()
		if !up {
			return
		}
		if _, err := fmt.Fprint(raw, rows+end+ready); err != nil {
			return
		}
	}
}

const done = "COMPLETE -\r\n"

// fail returns an error, which fails an open transaction.
func (co *conn) fail(code, text string) (string, string, time.Duration) {
	co.failed = co.tx
	return "", "ERROR " + code + " " + text + "\r\n", 0
}

// run runs one statement and returns its rows, the end of the answer, and a pause between them.
func (co *conn) run(id, text string) (string, string, time.Duration) {
	db, gr := co.db, co.db.gr
	word, rest, _ := strings.Cut(text, " ")
	after := ""
	if word == "AFTER" {
		after, text, _ = strings.Cut(rest, " ")
		word, rest, _ = strings.Cut(text, " ")
	}
	if co.failed && word != "ROLLBACK" && word != "COMMIT" {
		return co.fail("MALFORMED", "the transaction failed")
	}
	switch word {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return co.control(word, rest)
	case "DISCARD":
		co.values, co.prepared = map[string]int{}, map[string]string{}
		return "", done, 0
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		co.values[name] = len(value)
		return "", done, 0
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		co.prepared[name] = shape
		return "", done, 0
	case "DEALLOC":
		delete(co.prepared, rest)
		return "", done, 0
	case "ROLLBACK":
		co.tx, co.failed, co.pending = false, false, nil
		return "", done, 0
	case "BEGIN":
		gr.mu.Lock()
		defer gr.mu.Unlock()
		if rest != "READ" && !db.leads {
			return co.fail("READONLY", db.id)
		}
		if after != "" && !db.hasPosition(after) {
			return co.fail("LAGGING", db.id)
		}
		co.tx, co.readOnly, co.pending = true, rest == "READ", nil
		return "", done, 0
	}
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := co.prepared[name]
		if !ok {
			return co.fail("NOSTMT", name)
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	db.slots <- struct{}{}
	time.Sleep(db.work)
	defer func() { <-db.slots }()
	switch word {
	case "READ":
		return co.read(id, rest, after)
	case "WRITE":
		return co.write(id, rest)
	case "COMMIT":
		return co.commit(id)
	}
	return co.fail("MALFORMED", "unknown")
}

func (co *conn) read(id, item, after string) (string, string, time.Duration) {
	db, gr := co.db, co.db.gr
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if co.tx && !co.readOnly && !db.leads {
		return co.fail("READONLY", db.id)
	}
	if after != "" && !db.hasPosition(after) {
		return co.fail("LAGGING", db.id)
	}
	item, _, _ = strings.Cut(item, " ")
	end := "COMPLETE receipt-" + db.id + "-" + id + "\r\n"
	if gr.rows != nil {
		if row, pause, ok := gr.rows(item); ok {
			gr.rec.add("database %s runs %s READ %s: a row of %d bytes without CR LF", db.id, id, item, len(row))
			return row + "\r\n", end, pause
		}
	}
	value := "none"
	last := db.applied()
	for _, en := range db.log {
		if got, ok := en.items[item]; ok && en.number <= last.number {
			value = got
		}
	}
	gr.rec.add("database %s runs %s READ %s", db.id, id, item)
	return "DATAROW " + value + "\r\n", end, 0
}

func (co *conn) write(id, rest string) (string, string, time.Duration) {
	db, gr := co.db, co.db.gr
	item, data, _ := strings.Cut(rest, " ")
	gr.mu.Lock()
	leads := db.leads && db.up
	gr.mu.Unlock()
	if !leads || (co.tx && co.readOnly) {
		return co.fail("READONLY", db.id)
	}
	if co.tx {
		if co.pending == nil {
			co.pending = map[string]string{}
		}
		co.pending[item], co.writer = data, id
		return "", "COMPLETE receipt-" + db.id + "-" + id + "\r\n", 0
	}
	return co.append(id, map[string]string{item: data})
}

func (co *conn) commit(id string) (string, string, time.Duration) {
	pending := co.pending
	failed := co.failed
	co.tx, co.failed, co.pending = false, false, nil
	if failed {
		return co.fail("ABORTED", "the transaction had failed")
	}
	if len(pending) == 0 {
		return "", "COMPLETE receipt-" + co.db.id + "-" + id + "\r\n", 0
	}
	return co.append(id, pending)
}

// append commits a write, and waits until one replica has received it.
func (co *conn) append(id string, items map[string]string) (string, string, time.Duration) {
	db, gr := co.db, co.db.gr
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if !db.leads || !db.up {
		return co.fail("READONLY", db.id)
	}
	en := entry{term: gr.term, number: len(db.log) + 1, id: id, items: items, at: time.Now()}
	db.log = append(db.log, en)
	gr.rec.add("database %s runs and commits %s at %d.%d", db.id, id, en.term, en.number)
	for until := time.Now().Add(20 * time.Second); ; gr.cond.Wait() {
		if !db.up || !db.leads || time.Now().After(until) {
			return co.fail("TIMEOUT", "no replica has received it")
		}
		for _, other := range gr.databases {
			if other != db && other.up && len(other.log) >= en.number && other.log[en.number-1].id == id {
				gr.acked[id] = en
				gr.rec.add("database %s acknowledges %s: %s has received it", db.id, id, other.id)
				return "", "COMPLETE receipt-" + db.id + "-" + id + "\r\n", 0
			}
		}
	}
}

func (co *conn) control(word, rest string) (string, string, time.Duration) {
	db, gr := co.db, co.db.gr
	gr.mu.Lock()
	defer gr.mu.Unlock()
	term, _ := strconv.ParseUint(strings.TrimSpace(rest), 10, 64)
	switch word {
	case "PAUSE":
		if term > gr.term && !db.leads {
			db.frozen = term
		}
	case "RESUME":
		db.frozen = 0
	case "STEPDOWN":
		if term > gr.term && db.leads {
			db.leads = false
			go db.register()
		}
	}
	if word != "STATUS" {
		gr.rec.add("database %s: %s %s", db.id, word, rest)
	}
	row := fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\n", db.role(), gr.term, db.position(), db.frozen, len(db.slots), len(db.conns))
	return row, done, 0
}
