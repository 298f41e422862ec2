package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of a service; those of the site file in claim.txt.
const (
	promoteTime    = 600 * time.Millisecond
	applyLag       = 20 * time.Millisecond
	connectTime    = 12 * time.Millisecond
	statementTime  = 3 * time.Millisecond
	heartbeat      = 1200 * time.Millisecond
	slotsOfEach    = 2
	queueOfEach    = 16
	connectionsMax = 16
	drainTime      = 7 * time.Second
)

// delay returns the one-way delay between two zones: a and b are in one region, c is in
// another.
func delay(from, to string) time.Duration {
	switch {
	case from == to:
		return 100 * time.Microsecond
	case from == "c" || to == "c":
		return 8 * time.Millisecond
	}
	return 900 * time.Microsecond
}

// entry is one commit in a database's log.
type entry struct {
	term   uint64
	number int
	id     string
	item   string
	data   string
	// at is when the primary wrote it, and received when this database received it.
	at, received time.Time
}

// group is one service: a primary and its replicas.
type group struct {
	name  string
	store *store

	mu        sync.Mutex
	changed   *sync.Cond
	databases []*database
	term      uint64
	promoting bool
	// acked holds the commits that were acknowledged.
	acked map[string]entry
	// onPromote is called, with mu held, when a database is promoted.
	onPromote func(to *database)
	// onPause is called, with mu held, when a replica is paused.
	onPause func(db *database)
	// runs holds the data statements that ran, by ID.
	runs map[string]string
}

// database is one database of a group.
type database struct {
	group       *group
	id, zone    string
	address     string
	ln          net.Listener
	born        int64
	isPrimary   bool
	isRunning   bool
	isDraining  bool
	isDeaf      bool
	hasLeft     bool
	pausedTerm  uint64
	log         []entry
	connectedAt time.Time
	slots       chan struct{}
	waiting     int
	conns       map[net.Conn]bool
	sequence    int
}

func newGroup(name string, st *store) *group {
	gr := &group{name: name, store: st, term: 1, acked: map[string]entry{}, runs: map[string]string{}, onPromote: func(*database) {}, onPause: func(*database) {}}
	gr.changed = sync.NewCond(&gr.mu)
	go func() {
		for {
			time.Sleep(300 * time.Microsecond)
			gr.mu.Lock()
			gr.replicate(time.Now())
			gr.mu.Unlock()
			gr.changed.Broadcast()
		}
	}()
	return gr
}

// start adds a database, registers it and lets it receive the primary's log.
func (gr *group) start(id, zone string, isPrimary bool) *database {
	db := &database{
		group: gr, id: id, zone: zone, isPrimary: isPrimary, isRunning: true, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slotsOfEach), conns: map[net.Conn]bool{}, connectedAt: time.Now(),
	}
	db.ln = listen("127.0.0.1:0")
	db.address = db.ln.Addr().String()
	gr.mu.Lock()
	gr.databases = append(gr.databases, db)
	gr.mu.Unlock()
	record("database %s of %s starts in zone %s, primary: %t", id, gr.name, zone, isPrimary)
	go db.accept()
	go func() {
		for db.register() {
			time.Sleep(heartbeat)
		}
	}()
	return db
}

// register writes the database's entry, unless it does not run. It reports whether the
// database may still run later.
func (db *database) register() bool {
	db.group.mu.Lock()
	defer db.group.mu.Unlock()
	if !db.isRunning {
		return !db.hasLeft
	}
	role, state := "replica", "ready"
	if db.isPrimary {
		role = "primary"
	}
	if db.isDraining {
		state = "draining"
	}
	db.sequence++
	db.group.store.put("servers", db.id, map[string]any{
		"service": db.group.name, "address": db.address, "zone": db.zone, "version": "v1", "capacity": slotsOfEach, "state": state,
		"warmup-left-ms": 0, "sequence": db.sequence, "db-role": role, "born": db.born,
	})
	return true
}

// drain announces a planned shutdown. The database goes on until leave.
func (db *database) drain() {
	db.group.mu.Lock()
	db.isDraining = true
	db.group.mu.Unlock()
	db.register()
	record("database %s of %s is draining", db.id, db.group.name)
}

// leave ends the database after a planned shutdown: its log is gone, and so is its entry.
func (db *database) leave() {
	db.stop()
	db.group.mu.Lock()
	db.hasLeft = true
	db.group.mu.Unlock()
	db.group.store.drop("servers", db.id)
	record("database %s of %s has left", db.id, db.group.name)
}

// crashFor ends the database without notice and starts it again, with its log. A restart
// ends a pause.
func (db *database) crashFor(length time.Duration) {
	db.stop()
	record("database %s of %s has crashed", db.id, db.group.name)
	time.Sleep(length)
	ln := listen(db.address)
	db.group.mu.Lock()
	db.ln, db.isRunning, db.pausedTerm, db.connectedAt = ln, true, 0, time.Now()
	db.group.mu.Unlock()
	record("database %s of %s runs again", db.id, db.group.name)
	go db.accept()
	db.register()
}

func (db *database) stop() {
	db.group.mu.Lock()
	defer db.group.mu.Unlock()
	db.isRunning = false
	_ = db.ln.Close()
	for raw := range db.conns {
		_ = raw.Close()
	}
}

// setDeaf makes a replica receive nothing, or receive again.
func (db *database) setDeaf(isDeaf bool) {
	db.group.mu.Lock()
	defer db.group.mu.Unlock()
	db.isDeaf, db.connectedAt = isDeaf, time.Now()
	record("database %s of %s receives nothing: %t", db.id, db.group.name, isDeaf)
}

// primary returns the primary, whether it runs or not; mu is held.
func (gr *group) primary() *database {
	for _, db := range gr.databases {
		if db.isPrimary {
			return db
		}
	}
	return nil
}

func (gr *group) isRunning(id string) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	for _, db := range gr.databases {
		if db.id == id {
			return db.isRunning
		}
	}
	return false
}

// replicate lets the replicas receive what has had time to arrive; mu is held. What a
// primary sent before it crashed still arrives.
func (gr *group) replicate(now time.Time) {
	from := gr.primary()
	if from == nil {
		return
	}
	for _, db := range gr.databases {
		if db == from || !db.isRunning || db.isDeaf || db.pausedTerm > 0 {
			continue
		}
		way := delay(from.zone, db.zone)
		for len(db.log) < len(from.log) {
			en := from.log[len(db.log)]
			sentAt := en.at
			if sentAt.Before(db.connectedAt) {
				if !from.isRunning {
					break
				}
				sentAt = db.connectedAt
			}
			if now.Before(sentAt.Add(way)) {
				break
			}
			en.received = now
			db.log = append(db.log, en)
		}
	}
}

// isAcknowledged reports whether the receipt of an entry by one replica has had time to
// reach the primary; mu is held.
func (gr *group) isAcknowledged(from *database, en entry, now time.Time) bool {
	for _, db := range gr.databases {
		if db == from || len(db.log) < en.number {
			continue
		}
		have := db.log[en.number-1]
		if have.id == en.id && !now.Before(have.received.Add(delay(db.zone, from.zone))) {
			return true
		}
	}
	return false
}

// promoteLater makes a database the primary of the next term after promoteTime, with what
// it has received by then and nothing more.
func (gr *group) promoteLater(id string) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if old := gr.primary(); gr.promoting || (old != nil && old.id == id) {
		return
	}
	gr.promoting = true
	time.AfterFunc(promoteTime, func() { gr.promote(id) })
}

func (gr *group) promote(id string) {
	gr.mu.Lock()
	now := time.Now()
	gr.promoting = false
	gr.replicate(now)
	var next *database
	for _, db := range gr.databases {
		if db.id == id && db.isRunning {
			next = db
		}
	}
	if next == nil {
		gr.mu.Unlock()
		return
	}
	record("database %s of %s is promoted with %d entries", id, gr.name, len(next.log))
	gr.onPromote(next)
	gr.term++
	for _, db := range gr.databases {
		db.isPrimary, db.pausedTerm, db.connectedAt = db == next, 0, now
		if len(db.log) > len(next.log) {
			db.log = db.log[:len(next.log):len(next.log)]
		}
	}
	changed := append([]*database(nil), gr.databases...)
	gr.mu.Unlock()
	for _, db := range changed {
		db.register()
	}
}

func (db *database) accept() {
	for {
		raw, err := db.ln.Accept()
		if err != nil {
			return
		}
		go db.serve(raw)
	}
}

// dbSession is one connection to a database.
type dbSession struct {
	db         *database
	isOpen     bool
	isPlain    bool
	isFailed   bool
	writes     []entry
	snapshot   int
	shapes     map[string]string
	isPrepared bool
}

func (db *database) serve(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	gr := db.group
	gr.mu.Lock()
	isFull := len(db.conns) >= connectionsMax
	db.conns[raw] = true
	gr.mu.Unlock()
	defer func() {
		gr.mu.Lock()
		delete(db.conns, raw)
		gr.mu.Unlock()
	}()
	rd := bufio.NewReader(raw)
	line, err := readMessage(rd)
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	switch {
	case isFull:
		_, _ = fmt.Fprint(raw, "ERROR TOOMANY no room\r\n")
		return
	case len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != gr.name || (len(fields) > 3 && fields[3] != db.id):
		_, _ = fmt.Fprint(raw, "ERROR WRONGNODE "+db.id+"\r\n")
		return
	}
	db.slots <- struct{}{}
	time.Sleep(connectTime)
	<-db.slots
	se := &dbSession{db: db, shapes: map[string]string{}}
	if _, err := fmt.Fprint(raw, "READY I "+se.position()+"\r\n"); err != nil {
		return
	}
	for {
		line, err := readMessage(rd)
		if err != nil {
			return
		}
		answer, ok := se.respond(line)
		if !ok {
			return
		}
		if _, err := fmt.Fprint(raw, answer); err != nil {
			return
		}
	}
}

// readMessage reads one line, which ends with CR LF.
func readMessage(rd *bufio.Reader) (string, error) {
	var text strings.Builder
	for {
		part, err := rd.ReadString('\n')
		if err != nil {
			return "", err
		}
		text.WriteString(part)
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(text.String(), "\r\n"), nil
		}
	}
}

// applied returns how many entries reads see; mu is held.
func (db *database) applied() int {
	if db.isPrimary {
		count := len(db.log)
		for count > 0 && db.log[count-1].term == db.group.term {
			if _, ok := db.group.acked[db.log[count-1].id]; ok {
				break
			}
			count--
		}
		return count
	}
	oldest := time.Now().Add(-applyLag)
	count := len(db.log)
	for count > 0 && db.log[count-1].received.After(oldest) {
		count--
	}
	return count
}

func (db *database) positionOf(count int) string {
	if count == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", db.log[count-1].term, count)
}

func (se *dbSession) position() string {
	se.db.group.mu.Lock()
	defer se.db.group.mu.Unlock()
	return se.db.positionOf(se.db.applied())
}

// takeSlot takes a slot of the database, and reports false if its queue is full.
func (db *database) takeSlot() bool {
	db.group.mu.Lock()
	if db.waiting >= queueOfEach {
		db.group.mu.Unlock()
		return false
	}
	db.waiting++
	db.group.mu.Unlock()
	db.slots <- struct{}{}
	db.group.mu.Lock()
	db.waiting--
	db.group.mu.Unlock()
	return true
}

func isReport(word string) bool {
	return word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN"
}

// respond runs one statement and returns its answer, or false if the connection ends.
func (se *dbSession) respond(line string) (string, bool) {
	fields := strings.SplitN(line, " ", 3)
	if len(fields) < 3 || fields[0] != "QUERY" {
		return "", false
	}
	id, text := fields[1], fields[2]
	minimum := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		minimum, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	takesSlot := word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT" || word == "STATUS"
	body := ""
	if takesSlot && !se.db.takeSlot() {
		body = "ERROR BUSY " + se.db.id + "\r\n"
	} else {
		if takesSlot && word != "STATUS" {
			time.Sleep(statementTime)
		}
		if takesSlot {
			<-se.db.slots
		}
		body = se.run(id, text, word, rest, minimum)
	}
	gr := se.db.group
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if isReport(word) && word != "STATUS" {
		record("database %s of %s got %s: %q", se.db.id, gr.name, text, body)
	}
	if !se.db.isRunning {
		return "", false
	}
	state := "I"
	if se.isOpen {
		state = "T"
	}
	if se.isFailed {
		state = "E"
	}
	return body + "READY " + state + " " + se.db.positionOf(se.db.applied()) + "\r\n", true
}

const done = "COMPLETE -\r\n"

// run runs one statement.
func (se *dbSession) run(id, text, word, rest, minimum string) string {
	db, gr := se.db, se.db.group
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if minimum != "" && !se.covers(minimum) {
		se.isFailed = se.isOpen
		return "ERROR LAGGING " + db.id + "\r\n"
	}
	if se.isFailed && word != "ROLLBACK" {
		if word == "COMMIT" {
			se.isFailed, se.isOpen = false, false
		}
		return "ERROR MALFORMED the transaction has failed\r\n"
	}
	switch word {
	case "BEGIN":
		if rest != "READ" && !db.isPrimary {
			return "ERROR READONLY " + db.id + "\r\n"
		}
		se.isOpen, se.isPlain, se.snapshot, se.writes = true, rest != "READ", db.applied(), nil
		return done
	case "ROLLBACK":
		se.isOpen, se.isFailed, se.writes = false, false, nil
		return done
	case "SET", "DEALLOC":
		return done
	case "DISCARD":
		se.shapes = map[string]string{}
		return done
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		se.shapes[name] = shape
		return done
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return se.report(word, rest)
	}
	return se.data(id, text, word, rest)
}

func (se *dbSession) covers(minimum string) bool {
	term, number, _ := strings.Cut(minimum, ".")
	te, _ := strconv.ParseUint(term, 10, 64)
	num, _ := strconv.Atoi(number)
	count := se.db.applied()
	if count == 0 {
		return num == 0
	}
	last := se.db.log[count-1]
	return last.term > te || (last.term == te && last.number >= num)
}

// report runs STATUS, PAUSE, RESUME or STEPDOWN; mu is held.
func (se *dbSession) report(word, rest string) string {
	db := se.db
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case word == "PAUSE" && !db.isPrimary && term > db.group.term:
		db.pausedTerm = term
		db.group.onPause(db)
	case word == "RESUME" && db.pausedTerm > 0:
		db.pausedTerm, db.connectedAt = 0, time.Now()
	case word == "STEPDOWN" && db.isPrimary && term > db.group.term:
		db.isPrimary = false
	}
	role := "replica"
	if db.isPrimary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d\r\n%s", role, db.group.term, db.positionOf(len(db.log)), db.pausedTerm, len(db.conns), done)
}

// data runs a read, a write or a commit; mu is held, except while a commit waits.
func (se *dbSession) data(id, text, word, rest string) string {
	db, gr := se.db, se.db.group
	if se.isOpen && se.isPlain && !db.isPrimary && !(word == "COMMIT" && len(se.writes) == 0) {
		se.isFailed = true
		return "ERROR READONLY " + db.id + "\r\n"
	}
	isWrite := word == "WRITE"
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := se.shapes[name]
		if !ok {
			return "ERROR NOSTMT " + name + "\r\n"
		}
		isWrite, rest = strings.HasPrefix(shape, "WRITE"), args
	}
	if isWrite && !db.isPrimary {
		return "ERROR READONLY " + db.id + "\r\n"
	}
	if old, ok := gr.runs[id]; ok && word != "READ" {
		record("database %s of %s runs %s again: %q after %q", db.id, gr.name, id, text, old)
	}
	gr.runs[id] = text
	receipt := "COMPLETE " + db.id + "." + id + "\r\n"
	item, value, _ := strings.Cut(rest, " ")
	switch {
	case word == "COMMIT":
		writes := se.writes
		se.isOpen, se.writes = false, nil
		return se.commit(id, writes, receipt)
	case isWrite && se.isOpen:
		se.writes = append(se.writes, entry{item: item, data: value})
		return receipt
	case isWrite:
		return se.commit(id, []entry{{item: item, data: value}}, receipt)
	}
	count := db.applied()
	if se.isOpen {
		count = se.snapshot
	}
	found := "none"
	for pos := min(count, len(db.log)) - 1; pos >= 0; pos-- {
		if db.log[pos].item == item {
			found = db.log[pos].data
			break
		}
	}
	return "DATAROW " + found + "\r\n" + receipt
}

// commit writes to the log and waits until one replica has received it; mu is held, except
// while it waits.
func (se *dbSession) commit(id string, writes []entry, receipt string) string {
	db, gr := se.db, se.db.group
	if len(writes) == 0 {
		return receipt
	}
	en := writes[len(writes)-1]
	en.term, en.number, en.id, en.at = gr.term, len(db.log)+1, id, time.Now()
	en.received = en.at
	db.log = append(db.log, en)
	for {
		switch {
		case !db.isRunning || !db.isPrimary || len(db.log) < en.number || db.log[en.number-1].id != id:
			return "ERROR FAILED " + db.id + "\r\n"
		case gr.isAcknowledged(db, en, time.Now()):
			gr.acked[id] = en
			return receipt
		}
		gr.changed.Wait()
	}
}
