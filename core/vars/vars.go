// Package vars holds the variables and prepared statements of sessions, and
// computes the statements that set them up on a pooled connection.
package vars

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"strconv"

	"banyanspring/core/stmt"
)

// variable is a session variable.
type variable struct {
	name, value string
	// sum identifies a long name and value; it is zero for short ones.
	sum digest
}

// digest is a SHA-256 hash. Callers choose what is hashed, so that nobody must be able to make two
// variables of the same hash.
type digest [sha256.Size]byte

// longBytes is the size of a name and value from which on they are hashed once, when they are set.
const longBytes = 256

func newVariable(name, val string) variable {
	va := variable{name: name, value: val}
	if len(name)+len(val) >= longBytes {
		va.sum = va.hash()
	}
	return va
}

func (va variable) set() stmt.Statement {
	return stmt.Statement{Kind: stmt.Set, Name: va.name, Argument: va.value}
}

// hash returns the digest of the name and the value, with the length of the name in front.
func (va variable) hash() digest {
	ha := sha256.New()
	_, _ = io.WriteString(ha, strconv.Itoa(len(va.name))+" ")
	_, _ = io.WriteString(ha, va.name)
	_, _ = io.WriteString(ha, va.value)
	return digest(ha.Sum(nil))
}

// Prepared is a prepared statement.
type Prepared struct {
	// Name is the name that the caller gave.
	Name string
	// Writes is true if the statement changes data.
	Writes bool
	// Text is the text of the statement.
	Text string
}

// pooledName returns the name of the prepared statement on pooled connections. It is
// a hash of Writes and Text, both of which the upstream is given at the
// preparation. Name is left out, so that callers share equal prepared statements. Callers
// choose the texts, so that the hash must be one for which no two texts of the same hash
// can be made.
func (pr Prepared) pooledName() string {
	kind := "r"
	if pr.Writes {
		kind = "w"
	}
	sum := sha256.Sum256([]byte(kind + pr.Text))
	return "p" + hex.EncodeToString(sum[:pooledNameBytes])
}

// pooledNameBytes is how much of the hash is part of a name.
const pooledNameBytes = 16

// Session is the immutable set of variables and prepared statements of one caller's
// session.
type Session struct {
	// variables is ordered by name.
	variables []variable
	// prepared is ordered by name.
	prepared []Prepared
}

// WithValue returns a session with the variable set to the value.
func (se Session) WithValue(name, val string) Session {
	next := slices.Clone(se.variables)
	pos, found := slices.BinarySearchFunc(next, name, func(va variable, key string) int { return compare(va.name, key) })
	if found {
		next[pos] = newVariable(name, val)
	} else {
		next = slices.Insert(next, pos, newVariable(name, val))
	}
	se.variables = next
	return se
}

// Values returns the variables as alternating names and values, ordered by name.
func (se Session) Values() []string {
	out := make([]string, 0, 2*len(se.variables))
	for _, va := range se.variables {
		out = append(out, va.name, va.value)
	}
	return out
}

// hasLargeVariables reports whether the names and values take more than maxHeldBytes.
func (se Session) hasLargeVariables() bool {
	sum := 0
	for _, va := range se.variables {
		sum += len(va.name) + len(va.value)
	}
	return sum > maxHeldBytes
}

// hashVariables returns the digest of all variables.
func (se Session) hashVariables() digest {
	ha := sha256.New()
	for _, va := range se.variables {
		sum := va.sum
		if sum == (digest{}) {
			sum = va.hash()
		}
		_, _ = ha.Write(sum[:])
	}
	return digest(ha.Sum(nil))
}

// Bytes returns the size of the names, values and texts.
func (se Session) Bytes() int {
	sum := 0
	for _, va := range se.variables {
		sum += len(va.name) + len(va.value)
	}
	for _, pr := range se.prepared {
		sum += len(pr.Name) + len(pr.Text)
	}
	return sum
}

// FromValues returns a session with the variables in the list and without prepared
// statements. It reports false unless the list has the form and the order that Values
// returns.
func FromValues(list []string) (Session, bool) {
	var se Session
	if len(list)%2 != 0 {
		return se, false
	}
	for pos := 0; pos < len(list); pos += 2 {
		if pos > 0 && list[pos-2] >= list[pos] {
			return Session{}, false
		}
		se.variables = append(se.variables, newVariable(list[pos], list[pos+1]))
	}
	return se, true
}

// WithPrepared returns a session with the prepared statement, which replaces one of the
// same name.
func (se Session) WithPrepared(pr Prepared) Session {
	next := slices.Clone(se.prepared)
	pos, found := se.findPrepared(pr.Name)
	if found {
		next[pos] = pr
	} else {
		next = slices.Insert(next, pos, pr)
	}
	se.prepared = next
	return se
}

// WithoutPrepared returns a session without the prepared statement, and false if there
// was none.
func (se Session) WithoutPrepared(name string) (Session, bool) {
	pos, found := se.findPrepared(name)
	if !found {
		return se, false
	}
	se.prepared = slices.Delete(slices.Clone(se.prepared), pos, pos+1)
	return se, true
}

// GetPreparedByName finds a prepared statement by the caller's name for it.
func (se Session) GetPreparedByName(name string) (Prepared, bool) {
	pos, found := se.findPrepared(name)
	if !found {
		return Prepared{}, false
	}
	return se.prepared[pos], true
}

func (se Session) findPrepared(name string) (int, bool) {
	return slices.BinarySearchFunc(se.prepared, name, func(pr Prepared, key string) int { return compare(pr.Name, key) })
}

func compare(left, right string) int {
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	}
	return 0
}

// maxPrepared limits the prepared statements on one connection; above it, Align
// resets the connection. Each takes about 100 bytes both in this process and at the
// upstream.
const maxPrepared = 200

// maxHeldBytes bounds the names and values that are kept for one connection. They outlive the session
// and are outside its budget. Of larger ones, only the digest is kept.
const maxHeldBytes = 4096

// Conn records the variables and prepared statements that one upstream connection
// has. It is not safe for concurrent use.
type Conn struct {
	// variables is ordered by name; nil if they are large.
	variables []variable
	// isLarge is true if the connection has variables with more than maxHeldBytes, the digest of which
	// is large.
	isLarge bool
	large   digest
	// prepared holds the pooled names of the prepared statements.
	prepared map[string]struct{}
}

// Align returns the statements that give the connection the session's variables. It
// records them as executed: unless all are sent and succeed, the connection must be
// closed.
func (co *Conn) Align(se Session) []stmt.Statement {
	if se.hasLargeVariables() {
		return co.alignLarge(se)
	}
	var out []stmt.Statement
	if !co.isCoveredBy(se) || len(co.prepared) > maxPrepared {
		out = append(out, co.discard())
	}
	pos := 0
	for _, va := range se.variables {
		if pos < len(co.variables) && co.variables[pos].name == va.name {
			pos++
			if co.variables[pos-1].value == va.value {
				continue
			}
		}
		out = append(out, va.set())
	}
	co.variables = se.variables
	return out
}

// alignLarge is Align for variables of which only the digest is kept.
func (co *Conn) alignLarge(se Session) []stmt.Statement {
	sum := se.hashVariables()
	if co.isLarge && co.large == sum && len(co.prepared) <= maxPrepared {
		return nil
	}
	var out []stmt.Statement
	if co.isLarge || len(co.variables) > 0 || len(co.prepared) > maxPrepared {
		out = append(out, co.discard())
	}
	for _, va := range se.variables {
		out = append(out, va.set())
	}
	co.variables, co.isLarge, co.large = nil, true, sum
	return out
}

// discard returns the statement that resets the connection, and records it as executed.
func (co *Conn) discard() stmt.Statement {
	*co = Conn{}
	return stmt.Statement{Kind: stmt.Discard}
}

// isCoveredBy reports whether the session sets each variable that the connection
// has. If not, Align must discard them all, since the platform's protocol has no
// statement that unsets a single variable.
func (co *Conn) isCoveredBy(se Session) bool {
	if co.isLarge {
		return false
	}
	pos := 0
	for _, va := range co.variables {
		for pos < len(se.variables) && se.variables[pos].name < va.name {
			pos++
		}
		if pos == len(se.variables) || se.variables[pos].name != va.name {
			return false
		}
	}
	return true
}

// ResolvePrepared returns an Execute statement with the pooled name of the prepared statement
// in place of the caller's, and the statement that prepares it if the connection
// does not have it. ResolvePrepared records it as prepared: if the preparation fails, the
// connection must be closed. Parameters stay as they are.
func (co *Conn) ResolvePrepared(st stmt.Statement, pr Prepared) (stmt.Statement, []stmt.Statement) {
	name := pr.pooledName()
	st.Name, st.Text, st.Writes = name, "", pr.Writes
	if _, ok := co.prepared[name]; ok {
		return st, nil
	}
	if co.prepared == nil {
		co.prepared = make(map[string]struct{})
	}
	co.prepared[name] = struct{}{}
	return st, []stmt.Statement{{Kind: stmt.Prepare, Name: name, Writes: pr.Writes, Argument: pr.Text}}
}
