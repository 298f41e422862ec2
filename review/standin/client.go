package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// client is one consumer. It sends one request at a time and waits for the answer.
type client struct {
	name    string
	fronts  []string
	route   string
	conn    net.Conn
	rd      *bufio.Reader
	rng     *rand.Rand
	counter int

	mu sync.Mutex
	// succeeded holds the requests that were answered with success, and when.
	succeeded map[string]time.Time
}

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 8 * time.Second

func newClient(name, route string, fronts []string, seed uint64) *client {
	return &client{name: name, route: route, fronts: fronts, rng: rand.New(rand.NewPCG(seed, 1)), succeeded: map[string]time.Time{}}
}

// open opens a session at one of the daemons.
func (cl *client) open() bool {
	raw, err := net.DialTimeout("tcp", cl.fronts[cl.rng.IntN(len(cl.fronts))], 2*time.Second)
	if err != nil {
		return false
	}
	cl.conn, cl.rd = raw, bufio.NewReader(raw)
	_ = raw.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(raw, "STARTUP %s %s\r\n", cl.route, cl.name); err != nil {
		cl.close()
		return false
	}
	line, err := readMessage(cl.rd)
	if err != nil || !strings.HasPrefix(line, "READY I") {
		record("%s: the session was refused: %q %v", cl.name, line, err)
		cl.close()
		return false
	}
	return true
}

func (cl *client) close() {
	if cl.conn != nil {
		_ = cl.conn.Close()
		cl.conn = nil
	}
}

// newID returns an ID that no other request has.
func (cl *client) newID() string {
	cl.counter++
	return fmt.Sprintf("%s.%d", cl.name, cl.counter)
}

// ask sends one statement and returns the lines of the answer, the last of which is READY.
func (cl *client) ask(id, text string) []string {
	record("%s: sends %q", cl.name, id+" "+text)
	_ = cl.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(cl.conn, "QUERY %s %s\r\n", id, text); err != nil {
		record("%s: %s is not answered: %v", cl.name, id, err)
		cl.close()
		return nil
	}
	return cl.readAnswer(id)
}

func (cl *client) readAnswer(id string) []string {
	var lines []string
	for {
		line, err := readMessage(cl.rd)
		if err != nil {
			record("%s: %s is not answered: %v", cl.name, id, err)
			cl.close()
			return nil
		}
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY") {
			break
		}
	}
	record("%s: %s is answered %q", cl.name, id, lines)
	for _, line := range lines {
		if strings.HasPrefix(line, "COMPLETE") {
			cl.mu.Lock()
			cl.succeeded[id] = time.Now()
			cl.mu.Unlock()
		}
	}
	return lines
}

// write sends writes with pauses between them until the time given.
func (cl *client) write(until time.Time, pause time.Duration) {
	for time.Now().Before(until) {
		if cl.conn == nil && !cl.open() {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		id := cl.newID()
		lines := cl.ask(id, fmt.Sprintf("WRITE k%d %s", cl.counter%50, id))
		if len(lines) > 0 && strings.HasPrefix(lines[0], "ERROR") {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Duration(cl.rng.Int64N(int64(2*pause) + 1)))
	}
	cl.close()
}
