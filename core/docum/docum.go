// Package docum holds the configuration document: services, their databases,
// the callers allowed, read classes and limits. It is the only way in which
// configuration changes.
package docum

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Document is a whole configuration. It is never changed once built.
type Document struct {
	Services []Service `json:"services"`
	// index holds the databases by "service.database"; nil in a document that
	// Parse did not make.
	index map[string]Target
}

// Service is a named set of databases with the callers allowed to reach them.
type Service struct {
	Name      string      `json:"name"`
	Databases []Database  `json:"databases"`
	Callers   []Caller    `json:"callers"`
	Classes   []ReadClass `json:"read_classes"`
	// DefaultClass names the class of reads that state none.
	DefaultClass string `json:"default_read_class"`
	// Acknowledge is AckMajority or AckPrimary.
	Acknowledge string `json:"acknowledge"`
	Limits      Limits `json:"limits"`
}

const (
	// AckMajority confirms a write once a majority of the group holds it.
	AckMajority = "majority"
	// AckPrimary confirms a write once the primary committed it. Writes that
	// were acknowledged may be lost when the primary fails.
	AckPrimary = "primary"
)

// Database maps a name that callers use to a database group of the platform.
type Database struct {
	Name  string `json:"name"`
	Group string `json:"group"`
}

// Caller is one account of a service.
type Caller struct {
	Name string `json:"name"`
	// Verifier is a SCRAM-SHA-256 verifier in the form that Postgres stores.
	Verifier string `json:"verifier"`
	// Weight is the caller's share of scarce upstream slots; at least 1.
	Weight uint32 `json:"weight"`
}

// ReadClass states how old the data of a kind of read may be.
type ReadClass struct {
	Name string `json:"name"`
	// MaxAge is the tolerated staleness; zero reads at the primary.
	MaxAge Span `json:"max_age"`
	// ServeWhenCutOff serves reads of a session that has just arrived without
	// its own earlier writes if no majority is in reach.
	ServeWhenCutOff bool `json:"serve_when_cut_off"`
}

// Limits bounds what the callers of a service may take.
type Limits struct {
	// StatementTimeout bounds one request, waits included.
	StatementTimeout Span `json:"statement_timeout"`
	// TransactionIdle bounds the time between statements of a transaction.
	TransactionIdle Span `json:"transaction_idle_timeout"`
	// FloorWait bounds the wait for a replica to reach a session's writes.
	FloorWait Span `json:"floor_wait"`
	// RequestKeyAge is how long the outcomes of request keys are kept.
	RequestKeyAge Span `json:"request_key_age"`
	// QueuePerCaller bounds one caller's waiting requests at an upstream.
	QueuePerCaller int `json:"queue_per_caller"`
	// SessionsPerCaller bounds one caller's sessions on a daemon.
	SessionsPerCaller int `json:"sessions_per_caller"`
}

// Span is a length of time that the document writes as "1.5s" or "24h".
type Span time.Duration

// Duration returns the span as a time.Duration.
func (sp Span) Duration() time.Duration { return time.Duration(sp) }

// MarshalJSON writes the span as text.
func (sp Span) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(sp).String()) }

// UnmarshalJSON reads the span from text.
func (sp *Span) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Newf("want a span such as \"2s\", got %s", raw)
	}
	dur, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("want a span such as \"2s\", got %q", text)
	}
	*sp = Span(dur)
	return nil
}

// Parse reads and validates a document. The error lists every fault found.
func Parse(raw []byte) (Document, error) {
	var doc Document
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return Document{}, &Faults{List: []Fault{decodeFault(err)}}
	}
	doc = doc.withDefaults()
	if faults := doc.Validate(); len(faults) > 0 {
		return Document{}, &Faults{List: faults}
	}
	return doc.withIndex(), nil
}

// withIndex returns the document with its databases indexed, since each request
// looks one up.
func (doc Document) withIndex() Document {
	doc.index = make(map[string]Target)
	for _, se := range doc.Services {
		for _, db := range se.Databases {
			doc.index[se.Name+"."+db.Name] = Target{Service: se, Database: db}
		}
	}
	return doc
}

func decodeFault(err error) Fault {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return Fault{Path: te.Field, Reason: "want " + te.Type.String() + ", got " + te.Value}
	}
	return Fault{Path: "", Reason: strings.TrimPrefix(err.Error(), "json: ")}
}

// Defaults for what a document leaves out.
const (
	defaultStatementTimeout  = 10 * time.Second
	defaultTransactionIdle   = 30 * time.Second
	defaultFloorWait         = 60 * time.Millisecond
	defaultRequestKeyAge     = 24 * time.Hour
	defaultQueuePerCaller    = 64
	defaultSessionsPerCaller = 1000
)

func (doc Document) withDefaults() Document {
	services := append([]Service(nil), doc.Services...)
	for pos := range services {
		services[pos].Limits = services[pos].Limits.withDefaults()
		if services[pos].Acknowledge == "" {
			services[pos].Acknowledge = AckMajority
		}
	}
	return Document{Services: services}
}

func (li Limits) withDefaults() Limits {
	setSpan(&li.StatementTimeout, defaultStatementTimeout)
	setSpan(&li.TransactionIdle, defaultTransactionIdle)
	setSpan(&li.FloorWait, defaultFloorWait)
	setSpan(&li.RequestKeyAge, defaultRequestKeyAge)
	if li.QueuePerCaller == 0 {
		li.QueuePerCaller = defaultQueuePerCaller
	}
	if li.SessionsPerCaller == 0 {
		li.SessionsPerCaller = defaultSessionsPerCaller
	}
	return li
}

func setSpan(sp *Span, fallback time.Duration) {
	if *sp == 0 {
		*sp = Span(fallback)
	}
}

// Target is a database as a caller sees it.
type Target struct {
	Service  Service
	Database Database
}

// ErrTargetNotExist says that no service has the database.
type ErrTargetNotExist struct{ Name string }

// Error implements error.
func (er ErrTargetNotExist) Error() string { return "no service has database " + er.Name }

// IsErrTargetNotExist reports whether err says that a database is unknown.
func IsErrTargetNotExist(err error) bool {
	var er ErrTargetNotExist
	return errors.As(err, &er)
}

// GetTargetByName finds a database by "service.database".
func (doc Document) GetTargetByName(name string) (Target, error) {
	if target, ok := doc.index[name]; ok {
		return target, nil
	}
	service, database, _ := strings.Cut(name, ".")
	for _, se := range doc.Services {
		if se.Name != service {
			continue
		}
		for _, db := range se.Databases {
			if db.Name == database {
				return Target{Service: se, Database: db}, nil
			}
		}
	}
	return Target{}, ErrTargetNotExist{Name: name}
}

// GetCallerByName finds a caller of the service.
func (se Service) GetCallerByName(name string) (Caller, bool) {
	for _, ca := range se.Callers {
		if ca.Name == name {
			return ca, true
		}
	}
	return Caller{}, false
}

// GetClassByName finds a read class; an empty name gives the default class.
func (se Service) GetClassByName(name string) (ReadClass, bool) {
	if name == "" {
		name = se.DefaultClass
	}
	for _, cl := range se.Classes {
		if cl.Name == name {
			return cl, true
		}
	}
	return ReadClass{}, false
}
