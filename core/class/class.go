// Package class classifies SQL statements. Only statements that are provably
// reads may run on a replica.
package class

import (
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"

	lru "github.com/hashicorp/golang-lru/v2"

	"banyanspring/core/codes"
)

// Kind is the class of a statement.
type Kind uint8

const (
	// Empty is a query text without statements.
	Empty Kind = iota
	// Read changes no data and may run on a replica.
	Read
	// Write may change data and must run on the primary. It is the kind of every
	// statement that is not provably a read and has none of the kinds below.
	Write
	// Begin opens a transaction that may write.
	Begin
	// BeginReadOnly opens a transaction that may run on a replica.
	BeginReadOnly
	// Commit ends a transaction.
	Commit
	// Rollback ends a transaction and discards its changes.
	Rollback
	// Local is answered by the daemon that holds the session and is not sent to
	// an upstream.
	Local
	// Refused cannot run on a pooled connection.
	Refused
)

// Setting is a Local statement: SET, RESET, SHOW, DEALLOCATE or DISCARD.
type Setting struct {
	// Name is the setting's name in lower case, or "deallocate" or "discard".
	Name string
	// Value is the value that SET assigns, or the statement that DEALLOCATE
	// names; empty for DEALLOCATE ALL, RESET, SHOW and DISCARD.
	Value string
	// Show is true for SHOW only.
	Show bool
	// Tag is the command tag of the reply.
	Tag string
}

// Statement is one classified statement.
type Statement struct {
	Kind Kind
	// Setting is set if Kind is Local.
	Setting Setting
	// Refusal is the reason if Kind is Refused.
	Refusal *codes.Refusal
}

// Batch is a classified query text.
type Batch struct {
	// Statements holds the statements in the order of the text.
	Statements []Statement
	// Options holds the options in the leading comment of the text.
	Options Options
}

// Options holds the per-request options of a leading comment such as
// /* banyanspring request_key=... read_class=... */.
type Options struct {
	// RequestKey identifies the request when the caller repeats it, so that it takes
	// effect once; empty if not given.
	RequestKey string
	// ReadClass overrides the session's read class for this request; empty if not
	// given.
	ReadClass string
}

// Kind returns the kind of a batch as a whole: Empty without statements, that of
// its only statement, Read if all of several statements are reads, and Write
// otherwise.
func (ba Batch) Kind() Kind {
	switch len(ba.Statements) {
	case 0:
		return Empty
	case 1:
		return ba.Statements[0].Kind
	}
	for _, st := range ba.Statements {
		if st.Kind != Read {
			return Write
		}
	}
	return Read
}

// Refusal returns the first refusal in the batch, or nil. A Local statement is
// refused unless it is the only one.
func (ba Batch) Refusal() *codes.Refusal {
	for _, st := range ba.Statements {
		if st.Kind == Refused {
			return st.Refusal
		}
		if st.Kind == Local && len(ba.Statements) > 1 {
			return codes.Refuse(codes.LocalInBatch, "setting %q", st.Setting.Name)
		}
	}
	return nil
}

// Classifier classifies query texts and caches the results of the most recently used
// ones. It is safe for concurrent use.
type Classifier struct {
	cache *lru.Cache[string, Batch]
}

// maxCachedText is the length in bytes of the longest text whose result is
// cached.
const maxCachedText = 4096

// New returns a classifier whose cache holds the given number of texts. It
// fails if the number is not positive.
func New(entries int) (*Classifier, error) {
	cache, err := lru.New[string, Batch](entries)
	if err != nil {
		return nil, err
	}
	return &Classifier{cache: cache}, nil
}

// Classify parses a query text and classifies its statements. The error is a
// *codes.Refusal with codes.SyntaxError.
func (cl *Classifier) Classify(text string) (Batch, error) {
	if ba, ok := cl.cache.Get(text); ok {
		return ba, nil
	}
	ba, err := classify(text)
	if err != nil {
		return Batch{}, err
	}
	if len(text) <= maxCachedText {
		cl.cache.Add(strings.Clone(text), ba)
	}
	return ba, nil
}

func classify(text string) (Batch, error) {
	tree, err := pg_query.Parse(text)
	if err != nil {
		return Batch{}, codes.Refuse(codes.SyntaxError, "%v", err)
	}
	ba := Batch{Options: parseOptions(text)}
	for _, raw := range tree.Stmts {
		ba.Statements = append(ba.Statements, classifyNode(raw.Stmt))
	}
	return ba, nil
}

const optionsPrefix = "/* banyanspring "

// parseOptions parses the options in the leading comment of a text and ignores
// unknown ones.
func parseOptions(text string) Options {
	var opt Options
	rest, found := strings.CutPrefix(strings.TrimSpace(text), optionsPrefix)
	if !found {
		return opt
	}
	body, _, _ := strings.Cut(rest, "*/")
	for _, word := range strings.Fields(body) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "request_key":
			opt.RequestKey = value
		case "read_class":
			opt.ReadClass = value
		}
	}
	return opt
}
