// Package class tells what kind of work a statement is. Only what is provably
// a read may leave the primary.
package class

import (
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"

	lru "github.com/hashicorp/golang-lru/v2"

	"banyanspring/core/codes"
)

// Kind is how the system treats a statement.
type Kind uint8

const (
	// Empty is a text without a statement.
	Empty Kind = iota
	// Read changes nothing and may run on a replica.
	Read
	// Write is everything that is not provably a read.
	Write
	// Begin opens a transaction that may write.
	Begin
	// BeginReadOnly opens a transaction that may run on a replica.
	BeginReadOnly
	// Commit ends a transaction.
	Commit
	// Rollback ends a transaction without effect.
	Rollback
	// Local is answered by the entry itself.
	Local
	// Refused cannot be served through a pool.
	Refused
)

// Setting is a SET or SHOW that the entry answers.
type Setting struct {
	// Name is in lower case.
	Name string
	// Value is what SET assigns.
	Value string
	// Show is true for SHOW and false for SET.
	Show bool
	// Tag is the command tag to answer with.
	Tag string
}

// Statement is one classified statement.
type Statement struct {
	// Kind is how to treat the statement.
	Kind Kind
	// Setting is set if Kind is Local.
	Setting Setting
	// Refusal is set if Kind is Refused.
	Refusal *codes.Refusal
}

// Batch is a classified query text.
type Batch struct {
	// Statements are in the order of the text.
	Statements []Statement
	// Options are the settings in a leading comment of the text.
	Options Options
}

// Options are the settings that a leading comment carries, as in
// /* banyanspring request_key=... read_class=... */.
type Options struct {
	// RequestKey is empty if the comment has none.
	RequestKey string
	// ReadClass is empty if the comment has none.
	ReadClass string
}

// Kind returns the kind of a batch as a whole: that of its only statement,
// Read if all statements are reads, and Write otherwise.
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

// Refusal returns the first refusal in the batch, or nil.
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

// Classifier classifies query texts and keeps the results of recent ones. It
// is safe for concurrent use.
type Classifier struct {
	cache *lru.Cache[string, Batch]
}

// maxCachedText is the longest text, in bytes, whose class is kept.
const maxCachedText = 4096

// New returns a classifier that keeps the given number of texts.
func New(entries int) (*Classifier, error) {
	cache, err := lru.New[string, Batch](entries)
	if err != nil {
		return nil, err
	}
	return &Classifier{cache: cache}, nil
}

// Classify returns the class of a text. The error is a *codes.Refusal.
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

// parseOptions reads the leading comment of a text.
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
