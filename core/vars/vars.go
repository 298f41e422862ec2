// Package vars holds the variables and prepared statements of sessions, and
// computes the statements that give a pooled connection the same ones.
package vars

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"banyanspring/core/stmt"
)

// variable is a session variable.
type variable struct{ name, value string }

// Plan is a prepared statement.
type Plan struct {
	// Name is the name that the caller gave.
	Name string
	// Writes is true if the statement changes data.
	Writes bool
	// Shape is the text of the statement.
	Shape string
}

// pooledName returns the name of the plan on pooled connections. It is a hash of
// Writes and Shape without Name, so that callers share equal plans.
func (pl Plan) pooledName() string {
	dig := xxhash.New()
	if pl.Writes {
		_, _ = dig.WriteString("w")
	} else {
		_, _ = dig.WriteString("r")
	}
	_, _ = dig.WriteString(pl.Shape)
	return "p" + strconv.FormatUint(dig.Sum64(), 36)
}

// Session is the immutable set of variables and plans of one caller's session.
type Session struct {
	// variables is ordered by name.
	variables []variable
	// plans is ordered by name.
	plans []Plan
}

// WithValue returns a session with the variable set to the value.
func (se Session) WithValue(name, val string) Session {
	next := slices.Clone(se.variables)
	pos, found := slices.BinarySearchFunc(next, name, func(va variable, key string) int { return compare(va.name, key) })
	if found {
		next[pos].value = val
	} else {
		next = slices.Insert(next, pos, variable{name: name, value: val})
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

// FromValues returns a session with the variables that Values returned, and no
// plans.
func FromValues(list []string) Session {
	var se Session
	for pos := 0; pos+1 < len(list); pos += 2 {
		se.variables = append(se.variables, variable{name: list[pos], value: list[pos+1]})
	}
	return se
}

// WithPlan returns a session with the plan, which replaces a plan of the same
// name.
func (se Session) WithPlan(pl Plan) Session {
	next := slices.Clone(se.plans)
	pos, found := se.findPlan(pl.Name)
	if found {
		next[pos] = pl
	} else {
		next = slices.Insert(next, pos, pl)
	}
	se.plans = next
	return se
}

// WithoutPlan returns a session without the plan, and false if there was none.
func (se Session) WithoutPlan(name string) (Session, bool) {
	pos, found := se.findPlan(name)
	if !found {
		return se, false
	}
	se.plans = slices.Delete(slices.Clone(se.plans), pos, pos+1)
	return se, true
}

// GetPlanByName finds a plan by the caller's name.
func (se Session) GetPlanByName(name string) (Plan, bool) {
	pos, found := se.findPlan(name)
	if !found {
		return Plan{}, false
	}
	return se.plans[pos], true
}

func (se Session) findPlan(name string) (int, bool) {
	return slices.BinarySearchFunc(se.plans, name, func(pl Plan, key string) int { return compare(pl.Name, key) })
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

// maxPlans limits the plans on one connection; above it, Align resets the
// connection. A plan takes about 100 bytes here and at the upstream.
const maxPlans = 200

// Conn records the variables and plans that one upstream connection has. It is
// not safe for concurrent use.
type Conn struct {
	// variables is ordered by name.
	variables []variable
	// plans holds the pooled names of the prepared plans.
	plans map[string]struct{}
}

// Align returns the statements that give the connection the session's
// variables, and records them as executed.
func (co *Conn) Align(se Session) []stmt.Statement {
	var out []stmt.Statement
	if !co.isCoveredBy(se) || len(co.plans) > maxPlans {
		out = append(out, stmt.Statement{Kind: stmt.Discard})
		co.variables, co.plans = nil, nil
	}
	pos := 0
	for _, va := range se.variables {
		if pos < len(co.variables) && co.variables[pos].name == va.name {
			pos++
			if co.variables[pos-1].value == va.value {
				continue
			}
		}
		out = append(out, stmt.Statement{Kind: stmt.Set, Name: va.name, Argument: va.value})
	}
	co.variables = se.variables
	return out
}

// isCoveredBy reports whether the session sets each variable that the connection
// has. If not, Align must discard them all, since no statement unsets a single
// variable.
func (co *Conn) isCoveredBy(se Session) bool {
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

// Bind returns the statement with the plan's pooled name in place of the
// caller's, and the statement that prepares the plan if the connection does not
// have it. It records the plan as prepared.
func (co *Conn) Bind(st stmt.Statement, pl Plan) (stmt.Statement, []stmt.Statement) {
	name := pl.pooledName()
	st.Name, st.Text, st.Writes = name, "", pl.Writes
	if _, ok := co.plans[name]; ok {
		return st, nil
	}
	if co.plans == nil {
		co.plans = make(map[string]struct{})
	}
	co.plans[name] = struct{}{}
	return st, []stmt.Statement{{Kind: stmt.Prepare, Name: name, Writes: pl.Writes, Argument: pl.Shape}}
}
