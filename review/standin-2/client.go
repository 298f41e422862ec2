package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is one session of a consumer.
type client struct {
	w    *world
	name string
	raw  net.Conn
	rd   *bufio.Reader
	next int
}

// answer is the complete answer to a statement.
type answer struct {
	rows     []string
	receipt  string
	err      string
	state    string
	position string
	failure  error
}

func (an answer) String() string {
	if an.failure != nil {
		return "no answer: " + an.failure.Error()
	}
	if an.err != "" {
		return "ERROR " + short(an.err) + ", READY " + an.state
	}
	size := 0
	for _, row := range an.rows {
		size += len(row)
	}
	return fmt.Sprintf("%d rows of %d bytes, COMPLETE %s, READY %s", len(an.rows), size, an.receipt, an.state)
}

func (w *world) dial(name, address, database string) (*client, error) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{w: w, name: name, raw: raw, rd: bufio.NewReaderSize(raw, 256<<10)}
	_ = raw.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(raw, "STARTUP %s %s\r\n", database, name); err != nil {
		return nil, err
	}
	line, err := cl.rd.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "READY ") {
		_ = raw.Close()
		return nil, fmt.Errorf("%s", strings.TrimSpace(line))
	}
	return cl, nil
}

// query sends one statement and reads its answer.
func (cl *client) query(text string) (string, answer) {
	cl.next++
	id := fmt.Sprintf("%s-%d", cl.name, cl.next)
	an := cl.ask(id, text)
	cl.w.rec.add("consumer %s sends %s %s; gets %s", cl.name, id, short(text), an)
	return id, an
}

func (cl *client) ask(id, text string) answer {
	_ = cl.raw.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(cl.raw, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{failure: err}
	}
	var an answer
	for {
		line, err := cl.rd.ReadString('\n')
		if err != nil {
			an.failure = err
			return an
		}
		line = strings.TrimSuffix(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			an.rows = append(an.rows, rest)
		case "COMPLETE":
			an.receipt = rest
		case "ERROR":
			an.err = rest
		case "READY":
			an.state, an.position, _ = strings.Cut(rest, " ")
			return an
		}
	}
}

func (cl *client) close() { _ = cl.raw.Close() }
