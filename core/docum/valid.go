package docum

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Fault is one error in a document.
type Fault struct {
	// Path is the path of the field, such as "services[0].callers[2].weight".
	Path string `json:"path"`
	// Reason says what is wrong and what is allowed.
	Reason string `json:"reason"`
}

// Faults is the error for an invalid document.
type Faults struct {
	// List is never empty.
	List []Fault
}

// Error implements error with one line for each fault.
func (fa *Faults) Error() string {
	lines := make([]string, len(fa.List))
	for pos, ft := range fa.List {
		lines[pos] = ft.Path + ": " + ft.Reason
	}
	return strings.Join(lines, "\n")
}

const (
	// maxDuration bounds max_age and request_key_age.
	maxDuration = 30 * 24 * time.Hour
	// maxWeight bounds the weight of a caller.
	maxWeight = 1000
	// maxLimitPerCaller bounds queue_per_caller and sessions_per_caller.
	maxLimitPerCaller = 100_000
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)
	verifierPattern = regexp.MustCompile(`^SCRAM-SHA-256\$\d+:[A-Za-z0-9+/=]+\$[A-Za-z0-9+/=]+:[A-Za-z0-9+/=]+$`)
)

// checker validates the parts of a document and collects faults.
type checker struct{ faults []Fault }

func (ch *checker) addFault(path, format string, args ...any) {
	ch.faults = append(ch.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// checkName checks the form of a name and that it is not in seen, and adds it there.
func (ch *checker) checkName(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		ch.addFault(path, "want lower-case letters, digits, '-' and '_', got %q", name)
	}
	if seen[name] {
		ch.addFault(path, "%q is used twice", name)
	}
	seen[name] = true
}

func (ch *checker) checkDuration(path string, sp Duration, low, high time.Duration) {
	if sp.Duration() < low || sp.Duration() > high {
		ch.addFault(path, "want %v to %v, got %v", low, high, sp.Duration())
	}
}

func (ch *checker) checkNumber(path string, num, low, high int) {
	if num < low || num > high {
		ch.addFault(path, "want %d to %d, got %d", low, high, num)
	}
}

// Validate returns all faults of the document; nil if it is valid.
func (doc Document) Validate() []Fault {
	ch := &checker{}
	if len(doc.Services) == 0 {
		ch.addFault("services", "want at least one service")
	}
	seen := make(map[string]bool)
	for pos, se := range doc.Services {
		path := fmt.Sprintf("services[%d]", pos)
		ch.checkName(path+".name", se.Name, seen)
		ch.checkService(path, se)
	}
	return ch.faults
}

func (ch *checker) checkService(path string, se Service) {
	if len(se.Databases) == 0 {
		ch.addFault(path+".databases", "want at least one database")
	}
	seen := make(map[string]bool)
	for pos, db := range se.Databases {
		at := fmt.Sprintf("%s.databases[%d]", path, pos)
		ch.checkName(at+".name", db.Name, seen)
		if db.Group == "" {
			ch.addFault(at+".group", "want the name of a database group")
		}
	}
	ch.checkCallers(path, se.Callers)
	ch.checkClasses(path, se)
	if se.Acknowledge != AckMajority && se.Acknowledge != AckPrimary {
		ch.addFault(path+".acknowledge", "want %q or %q, got %q", AckMajority, AckPrimary, se.Acknowledge)
	}
	ch.checkLimits(path+".limits", se.Limits)
}

func (ch *checker) checkCallers(path string, callers []Caller) {
	seen := make(map[string]bool)
	for pos, ca := range callers {
		at := fmt.Sprintf("%s.callers[%d]", path, pos)
		ch.checkName(at+".name", ca.Name, seen)
		if !verifierPattern.MatchString(ca.Verifier) {
			ch.addFault(at+".verifier", "want SCRAM-SHA-256$iterations:salt$stored_key:server_key")
		}
		ch.checkNumber(at+".weight", int(ca.Weight), 1, maxWeight)
	}
}

func (ch *checker) checkClasses(path string, se Service) {
	seen := make(map[string]bool)
	for pos, cl := range se.Classes {
		at := fmt.Sprintf("%s.read_classes[%d]", path, pos)
		ch.checkName(at+".name", cl.Name, seen)
		ch.checkDuration(at+".max_age", cl.MaxAge, 0, maxDuration)
	}
	if !seen[se.DefaultClass] {
		ch.addFault(path+".default_read_class", "%q is not among the read classes", se.DefaultClass)
	}
}

func (ch *checker) checkLimits(path string, li Limits) {
	ch.checkDuration(path+".statement_timeout", li.StatementTimeout, time.Millisecond, time.Hour)
	ch.checkDuration(path+".transaction_idle_timeout", li.TransactionIdle, time.Millisecond, time.Hour)
	ch.checkDuration(path+".floor_wait", li.FloorWait, time.Microsecond, time.Minute)
	ch.checkDuration(path+".request_key_age", li.RequestKeyAge, time.Minute, maxDuration)
	ch.checkNumber(path+".queue_per_caller", li.QueuePerCaller, 1, maxLimitPerCaller)
	ch.checkNumber(path+".sessions_per_caller", li.SessionsPerCaller, 1, maxLimitPerCaller)
}
