// Package vars holds the values and prepared statements of sessions, and works
// out what a pooled connection lacks of them.
package vars

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"banyanspring/core/stmt"
)

// value is one setting of a session.
type value struct{ name, value string }

// Plan is one prepared statement.
type Plan struct {
	// Name is the caller's.
	Name string
	// Writes tells whether it changes data.
	Writes bool
	// Shape is the statement's text.
	Shape string
}

// pooledName is the name of the plan on pooled connections. It depends on what
// the plan does and not on the caller, so that callers share it.
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

// Session is the immutable set of values and plans of one caller's session.
type Session struct {
	// values is ordered by name.
	values []value
	// plans is ordered by name.
	plans []Plan
}

// WithValue returns a session with the value set.
func (se Session) WithValue(name, val string) Session {
	next := slices.Clone(se.values)
	pos, found := slices.BinarySearchFunc(next, name, func(va value, key string) int { return compare(va.name, key) })
	if found {
		next[pos].value = val
	} else {
		next = slices.Insert(next, pos, value{name: name, value: val})
	}
	se.values = next
	return se
}

// Values returns names and values in turn, ordered by name.
func (se Session) Values() []string {
	out := make([]string, 0, 2*len(se.values))
	for _, va := range se.values {
		out = append(out, va.name, va.value)
	}
	return out
}

// FromValues returns a session with what Values returned, and no plans.
func FromValues(list []string) Session {
	var se Session
	for pos := 0; pos+1 < len(list); pos += 2 {
		se.values = append(se.values, value{name: list[pos], value: list[pos+1]})
	}
	return se
}

// WithPlan returns a session with the plan prepared; it replaces one of the
// same name.
func (se Session) WithPlan(pl Plan) Session {
	next := slices.Clone(se.plans)
	pos, found := se.find(pl.Name)
	if found {
		next[pos] = pl
	} else {
		next = slices.Insert(next, pos, pl)
	}
	se.plans = next
	return se
}

// WithoutPlan returns a session without the plan, and false if there is none.
func (se Session) WithoutPlan(name string) (Session, bool) {
	pos, found := se.find(name)
	if !found {
		return se, false
	}
	se.plans = slices.Delete(slices.Clone(se.plans), pos, pos+1)
	return se, true
}

// GetPlanByName finds a plan by the caller's name.
func (se Session) GetPlanByName(name string) (Plan, bool) {
	pos, found := se.find(name)
	if !found {
		return Plan{}, false
	}
	return se.plans[pos], true
}

func (se Session) find(name string) (int, bool) {
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

// maxPlans bounds the plans kept on one connection; past it the connection is
// cleared. A plan takes about 100 bytes here and at the upstream.
const maxPlans = 200

// Conn is what one upstream connection holds. It is not safe for concurrent
// use.
type Conn struct {
	// values is ordered by name.
	values []value
	plans  map[string]struct{}
}

// Align returns the statements that give the connection the session's values,
// and notes them as done.
func (co *Conn) Align(se Session) []stmt.Statement {
	var out []stmt.Statement
	if !co.within(se) || len(co.plans) > maxPlans {
		out = append(out, stmt.Statement{Kind: stmt.Discard})
		co.values, co.plans = nil, nil
	}
	pos := 0
	for _, va := range se.values {
		if pos < len(co.values) && co.values[pos].name == va.name {
			pos++
			if co.values[pos-1].value == va.value {
				continue
			}
		}
		out = append(out, stmt.Statement{Kind: stmt.Set, Name: va.name, Argument: va.value})
	}
	co.values = se.values
	return out
}

// within reports whether the session has a value for each name that the
// connection holds; no statement unsets a single value.
func (co *Conn) within(se Session) bool {
	pos := 0
	for _, va := range co.values {
		for pos < len(se.values) && se.values[pos].name < va.name {
			pos++
		}
		if pos == len(se.values) || se.values[pos].name != va.name {
			return false
		}
	}
	return true
}

// Bind returns the execution of a plan under its pooled name, and the
// statement that prepares it where the connection lacks it.
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
