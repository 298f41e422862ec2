// Package docum defines the configuration document: services with their
// databases, allowed callers, read classes and limits. A daemon changes its
// configuration only by adopting a whole new document.
package docum

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Document is a complete configuration. It is immutable.
type Document struct {
	Services []Service `json:"services"`
	// index maps "service.database" to the database; nil if the document was
	// not built by Parse.
	index map[string]Target
}

// Service is a named set of databases and the callers that may use them.
type Service struct {
	Name      string      `json:"name"`
	Databases []Database  `json:"databases"`
	Callers   []Caller    `json:"callers"`
	Classes   []ReadClass `json:"read_classes"`
	// DefaultClass is the read class of sessions that set none.
	DefaultClass string `json:"default_read_class"`
	// Acknowledge is AckMajority, the default, or AckPrimary.
	Acknowledge string `json:"acknowledge"`
	Limits      Limits `json:"limits"`
}

const (
	// AckMajority acknowledges a write once a majority of the group has it.
	AckMajority = "majority"
	// AckPrimary acknowledges a write once the primary has committed it.
	// Acknowledged writes may be lost when the primary fails.
	AckPrimary = "primary"
)

// Database maps a database name that callers use to a database group of the
// platform.
type Database struct {
	Name  string `json:"name"`
	Group string `json:"group"`
}

// Caller is one account of a service.
type Caller struct {
	Name string `json:"name"`
	// Verifier is a SCRAM-SHA-256 verifier in the format that Postgres stores.
	Verifier string `json:"verifier"`
	// Weight is the caller's relative share of an upstream's slots when there
	// are too few; at least 1.
	Weight uint32 `json:"weight"`
}

// ReadClass defines the staleness that a class of reads tolerates.
type ReadClass struct {
	Name string `json:"name"`
	// MaxAge is the maximum staleness of the data; zero reads from the primary.
	MaxAge Duration `json:"max_age"`
	// ServeWhenCutOff allows reads if no majority is reachable to confirm a minimum
	// position. Reads of a new session may then miss writes that the caller made in
	// an earlier session.
	ServeWhenCutOff bool `json:"serve_when_cut_off"`
}

// Limits holds the limits for each caller of a service. Parse replaces zero by the
// default.
type Limits struct {
	// StatementTimeout limits the time of one request with all its statements,
	// including waits.
	StatementTimeout Duration `json:"statement_timeout"`
	// TransactionIdle limits the time between statements of a transaction.
	TransactionIdle Duration `json:"transaction_idle_timeout"`
	// FloorWait limits the wait for a replica to apply the session's minimum
	// position.
	FloorWait Duration `json:"floor_wait"`
	// RequestKeyAge is how long after the creation of its key a request may be
	// repeated and is answered with the first outcome. Older keys are refused.
	RequestKeyAge Duration `json:"request_key_age"`
	// QueuePerCaller limits the requests of one caller that wait for an upstream.
	QueuePerCaller int `json:"queue_per_caller"`
	// SessionsPerCaller limits the sessions of one caller on a daemon.
	SessionsPerCaller int `json:"sessions_per_caller"`
}

// Duration is a time.Duration that is encoded as text such as "1.5s" or "24h".
type Duration time.Duration

// Duration returns the value as a time.Duration.
func (sp Duration) Duration() time.Duration { return time.Duration(sp) }

// MarshalJSON implements json.Marshaler.
func (sp Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(sp).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (sp *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Newf("want a duration such as \"2s\", got %s", raw)
	}
	dur, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("want a duration such as \"2s\", got %q", text)
	}
	*sp = Duration(dur)
	return nil
}

// Parse decodes a JSON document, fills in defaults and validates it. The error
// is *Faults; it lists all validation faults, but only the first decoding error.
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

// withIndex returns the document with an index of its databases, since each
// request looks one up.
func (doc Document) withIndex() Document {
	doc.index = make(map[string]Target)
	for _, se := range doc.Services {
		for _, db := range se.Databases {
			doc.index[se.Name+"."+db.Name] = Target{Service: se, Database: db}
		}
	}
	return doc
}

// decodeFault converts an error of the JSON decoder to a fault, with a path if the
// type of a field is wrong.
func decodeFault(err error) Fault {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return Fault{Path: te.Field, Reason: "want " + te.Type.String() + ", got " + te.Value}
	}
	return Fault{Path: "", Reason: strings.TrimPrefix(err.Error(), "json: ")}
}

// Defaults of Limits.
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
	setDefault(&li.StatementTimeout, defaultStatementTimeout)
	setDefault(&li.TransactionIdle, defaultTransactionIdle)
	setDefault(&li.FloorWait, defaultFloorWait)
	setDefault(&li.RequestKeyAge, defaultRequestKeyAge)
	if li.QueuePerCaller == 0 {
		li.QueuePerCaller = defaultQueuePerCaller
	}
	if li.SessionsPerCaller == 0 {
		li.SessionsPerCaller = defaultSessionsPerCaller
	}
	return li
}

func setDefault(sp *Duration, fallback time.Duration) {
	if *sp == 0 {
		*sp = Duration(fallback)
	}
}

// Target is a database with the service that it belongs to.
type Target struct {
	Service  Service
	Database Database
}

// ErrTargetNotExist is the error for a database that no service has.
type ErrTargetNotExist struct{ Name string }

// Error implements error.
func (er ErrTargetNotExist) Error() string { return "no service has database " + er.Name }

// IsErrTargetNotExist reports whether err is or wraps an ErrTargetNotExist.
func IsErrTargetNotExist(err error) bool {
	var er ErrTargetNotExist
	return errors.As(err, &er)
}

// GetTargetByName finds a database by "service.database". The error is
// ErrTargetNotExist.
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

// GetClassByName finds a read class; an empty name means the default class.
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
