package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var requests atomic.Int64

// client is a consumer's session.
type client struct {
	fl   *fleet
	name string
	raw  net.Conn
	rd   *bufio.Reader
	// values are those that were acknowledged.
	values map[string]string
	state  string
	// sent holds, for each statement, the session values that were acknowledged before.
	sent map[string]map[string]string
}

// reply is the answer to a query.
type reply struct {
	id, code, text, receipt string
	rows                    []string
}

func (fl *fleet) open(name string, num int, database string) (*client, error) {
	raw, err := net.DialTimeout("tcp", fl.instances[num].host+":8784", time.Second)
	if err != nil {
		return nil, err
	}
	cl := &client{fl: fl, name: name, raw: raw, rd: bufio.NewReader(raw), values: map[string]string{}, sent: map[string]map[string]string{}}
	_ = raw.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(raw, "STARTUP %s %s\r\n", database, name); err != nil {
		return nil, err
	}
	line, err := cl.rd.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = fmt.Errorf("opening: %s", line)
	}
	cl.state = "I"
	return cl, err
}

// query sends a statement and reads the answer.
func (cl *client) query(text string) (reply, error) {
	re := reply{id: fmt.Sprintf("%016x", requests.Add(1))}
	cl.sent[re.id] = maps.Clone(cl.values)
	cl.fl.rec.add("%s: sends %s %s", cl.name, re.id, text)
	_ = cl.raw.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := fmt.Fprintf(cl.raw, "QUERY %s %s\r\n", re.id, text); err != nil {
		return re, err
	}
	for {
		line, err := cl.rd.ReadString('\n')
		if err != nil {
			cl.fl.rec.add("%s: no answer to %s: %v", cl.name, re.id, err)
			return re, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			re.rows = append(re.rows, rest)
		case "COMPLETE":
			re.receipt = rest
		case "ERROR":
			re.code, re.text, _ = strings.Cut(rest, " ")
		case "READY":
			cl.state, _, _ = strings.Cut(rest, " ")
			if name, ok := strings.CutPrefix(text, "SET "); ok && re.code == "" {
				key, value, _ := strings.Cut(name, " ")
				cl.values[key] = value
			}
			cl.fl.rec.add("%s: is answered %s: %v %s %s %s, state %s", cl.name, re.id, re.rows, re.receipt, re.code, re.text, cl.state)
			return re, nil
		}
	}
}

func (cl *client) close() { _ = cl.raw.Close() }
