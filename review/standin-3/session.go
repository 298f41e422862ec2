package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// plan is a prepared statement.
type plan struct {
	writes bool
	shape  string
}

// dbSession is one connection to a database.
type dbSession struct {
	db     *database
	conn   int
	values map[string]string
	plans  map[string]plan
	// isOpen is true in a transaction, isPlain if it was begun by BEGIN, and isFailed once it has failed.
	isOpen, isPlain, isFailed bool
	// term is the one that the database led when the transaction was begun.
	term     uint64
	snapshot int
	buffer   map[string]string
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

func (db *database) serve(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	gr := db.gr
	rd := bufio.NewReader(raw)
	line, err := rd.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	gr.mu.Lock()
	gr.conns++
	se := &dbSession{db: db, conn: gr.conns, values: map[string]string{}, plans: map[string]plan{}}
	hello := fmt.Sprintf("READY I %s\r\n", db.position(db.applied()))
	switch {
	case fields[1] != serviceName || (len(fields) > 3 && fields[3] != db.id):
		hello = "ERROR WRONGNODE " + db.id + "\r\n"
	case len(db.open) >= maxConnections:
		hello = "ERROR TOOMANY " + db.id + "\r\n"
	}
	isRefused := hello[0] == 'E'
	if !isRefused {
		db.open[raw] = true
	}
	isDown := db.isDown
	gr.mu.Unlock()
	defer func() {
		gr.mu.Lock()
		delete(db.open, raw)
		gr.mu.Unlock()
	}()
	if isDown {
		return
	}
	if _, err := raw.Write([]byte(hello)); err != nil || isRefused {
		return
	}
	for {
		line, err := rd.ReadString('\n')
		if err != nil || !strings.HasSuffix(line, "\r\n") {
			return
		}
		text := se.respond(strings.TrimSuffix(line, "\r\n"))
		if text == "" {
			return
		}
		if _, err := raw.Write([]byte(text)); err != nil {
			return
		}
	}
}

// respond runs one message and returns the answer; empty if the connection ends.
func (se *dbSession) respond(line string) string {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 3 || parts[0] != "QUERY" {
		return ""
	}
	id, text := parts[1], parts[2]
	gr := se.db.gr
	gr.mu.Lock()
	defer gr.mu.Unlock()
	body := se.runMessage(id, text)
	if se.db.isDown || body == "" {
		return ""
	}
	state := "I"
	switch {
	case se.isFailed:
		state = "E"
	case se.isOpen:
		state = "T"
	}
	return body + fmt.Sprintf("READY %s %s\r\n", state, se.db.position(se.db.applied()))
}

const completed = "COMPLETE -\r\n"

func refusal(code, text string) string { return "ERROR " + code + " " + text + "\r\n" }

// runMessage runs one statement or command; the group's lock is held.
func (se *dbSession) runMessage(id, text string) string {
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		at, inner, _ := strings.Cut(rest, " ")
		if !se.covers(at) {
			se.isFailed = se.isOpen
			return refusal("LAGGING", se.db.id)
		}
		text = inner
		word, rest, _ = strings.Cut(inner, " ")
	}
	if body, ok := se.command(word, rest); ok {
		return body
	}
	hasWritten := len(se.buffer) > 0
	switch {
	case word == "ROLLBACK" || (se.isFailed && word == "COMMIT"):
		se.end()
		return completed
	case se.isFailed:
		return refusal("MALFORMED", "the transaction has failed")
	case se.isPlain && (!se.db.leads || se.db.term != se.term) && (word != "COMMIT" || hasWritten):
		// Any statement of a plain transaction whose database has lost the lead.
		se.isFailed = true
		se.db.gr.rec.add("%s: %s %s on connection %d: READONLY, the lead is lost", se.db.id, id, text, se.conn)
		return refusal("READONLY", se.db.id)
	}
	switch word {
	case "BEGIN":
		return se.begin(rest)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		se.values[name] = value
		return completed
	case "PREPARE":
		name, args, _ := strings.Cut(rest, " ")
		access, shape, _ := strings.Cut(args, " ")
		se.plans[name] = plan{writes: access == "WRITE", shape: shape}
		return completed
	case "DEALLOC":
		delete(se.plans, rest)
		return completed
	case "DISCARD":
		se.values, se.plans = map[string]string{}, map[string]plan{}
		return completed
	}
	return se.data(id, text, word, rest)
}

func (se *dbSession) end() {
	se.isOpen, se.isPlain, se.isFailed, se.buffer = false, false, false, nil
}

func (se *dbSession) begin(rest string) string {
	isRead := rest == "READ"
	if !isRead && !se.db.leads {
		return refusal("READONLY", se.db.id)
	}
	se.isOpen, se.isPlain, se.term, se.snapshot, se.buffer = true, !isRead, se.db.term, se.db.applied(), map[string]string{}
	return completed
}

// covers reports whether the log has the position; the group's lock is held.
func (se *dbSession) covers(at string) bool {
	count := se.db.applied()
	if count == 0 {
		return strings.HasSuffix(at, ".0")
	}
	term, number := parseAt(at)
	en := se.db.log[count-1]
	return en.term > term || (en.term == term && en.number >= number)
}

func parseAt(at string) (uint64, int) {
	left, right, _ := strings.Cut(at, ".")
	term, _ := strconv.ParseUint(left, 10, 64)
	number, _ := strconv.Atoi(right)
	return term, number
}

// command runs a control command; the group's lock is held.
func (se *dbSession) command(word, rest string) (string, bool) {
	db := se.db
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch word {
	case "STATUS":
	case "PAUSE":
		if !db.leads && term > db.term {
			db.paused = term
		}
	case "RESUME":
		db.paused = 0
	case "STEPDOWN":
		if db.leads && term > db.term {
			db.leads = false
			go db.gr.checkIn()
		}
	default:
		return "", false
	}
	role := "replica"
	if db.leads {
		role = "primary"
	}
	if word != "STATUS" {
		db.gr.rec.add("%s: %s %s", db.id, word, rest)
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 20 %d %d\r\n%s", role, db.term, db.position(len(db.log)), db.paused, len(db.busy), len(db.open), completed), true
}

// data runs a read, a write or a commit in a slot; the group's lock is held, and released meanwhile.
func (se *dbSession) data(id, text, word, rest string) string {
	db, gr := se.db, se.db.gr
	if db.waiting >= queueLength {
		return refusal("BUSY", db.id)
	}
	db.waiting++
	gr.mu.Unlock()
	db.busy <- struct{}{}
	time.Sleep(workTime)
	gr.mu.Lock()
	db.waiting--
	defer func() { <-db.busy }()
	if db.isDown {
		return ""
	}
	writes, args := word == "WRITE", rest
	if word == "EXECUTE" {
		name, given, _ := strings.Cut(rest, " ")
		pl, ok := se.plans[name]
		if !ok {
			se.isFailed = se.isOpen
			gr.runs = append(gr.runs, run{database: db.id, id: id, text: text, conn: se.conn, code: "NOSTMT"})
			return refusal("NOSTMT", name)
		}
		writes, args, text = pl.writes, given, pl.shape+" "+given
	}
	if !db.leads && (writes || se.isPlain) && (word != "COMMIT" || len(se.buffer) > 0) {
		se.isFailed = se.isOpen
		return refusal("READONLY", db.id)
	}
	gr.runs = append(gr.runs, run{database: db.id, id: id, text: text, conn: se.conn, values: maps.Clone(se.values), code: "OK"})
	gr.rec.add("%s: ran %s %s on connection %d, session values %v", db.id, id, text, se.conn, se.values)
	receipt := fmt.Sprintf("COMPLETE %s.%s\r\n", db.id, id)
	switch {
	case word == "COMMIT":
		data := se.buffer
		se.end()
		return se.commit(id, data, receipt)
	case writes:
		key, value, _ := strings.Cut(args, " ")
		if se.isOpen {
			se.buffer[key] = value
			return receipt
		}
		return se.commit(id, map[string]string{key: value}, receipt)
	}
	return "DATAROW " + se.lookUp(args) + "\r\n" + receipt
}

func (se *dbSession) lookUp(key string) string {
	if value, ok := se.buffer[key]; ok {
		return value
	}
	visible := se.db.applied()
	if se.isOpen {
		visible = min(se.snapshot, len(se.db.log))
	}
	for pos := visible - 1; pos >= 0; pos-- {
		if value, ok := se.db.log[pos].data[key]; ok {
			return value
		}
	}
	return "none"
}

// commit appends a commit and waits until one replica has received it; the group's lock is held, and
// released meanwhile.
func (se *dbSession) commit(id string, data map[string]string, receipt string) string {
	db, gr := se.db, se.db.gr
	if len(data) == 0 {
		return receipt
	}
	number := 1
	if len(db.log) > 0 {
		number = db.log[len(db.log)-1].number + 1
	}
	en := entry{term: db.term, number: number, id: id, data: data}
	db.log, db.recvAt = append(db.log, en), append(db.recvAt, time.Now())
	pos := len(db.log) - 1
	for {
		if db.isDown || len(db.log) <= pos || db.log[pos].id != id {
			return refusal("FAILED", db.id)
		}
		if gr.isReceived(db, pos) {
			gr.acknowledged = append(gr.acknowledged, en)
			return receipt
		}
		if !db.leads {
			return refusal("FAILED", db.id)
		}
		gr.mu.Unlock()
		time.Sleep(time.Millisecond)
		gr.mu.Lock()
	}
}
