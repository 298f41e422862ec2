package conf

import "time"

// Caller configures the listener for callers and the limits of their sessions.
type Caller struct {
	// Listen is the address for the Postgres protocol, "ip:port".
	Listen string
	// TLSCert and TLSKey are paths of PEM files; TLS is disabled without them.
	TLSCert, TLSKey string
	// TLSRequired rejects connections without TLS.
	TLSRequired bool
	// MaxSessions limits the sessions of all callers on this daemon together.
	MaxSessions int
	// MaxMessageBytes limits the size of one protocol message of a caller.
	MaxMessageBytes int
	// LoginTimeout limits the time from the connection to the end of the login.
	LoginTimeout time.Duration
	// StatementCache is the number of query texts whose classification is cached.
	StatementCache int
}

func parseCaller(re *reader) Caller {
	ca := Caller{
		Listen:          re.address("listen", "127.0.0.1:6432"),
		TLSCert:         re.text("tls_cert", "", false),
		TLSKey:          re.text("tls_key", "", false),
		TLSRequired:     re.boolean("tls_required", false),
		MaxSessions:     re.number("max_sessions", 10_000, 1, 1_000_000),
		MaxMessageBytes: re.number("max_message_bytes", 16<<20, 1<<10, 1<<30),
		LoginTimeout:    re.duration("login_timeout", 10*time.Second, 100*time.Millisecond, time.Minute),
		StatementCache:  re.number("statement_cache", 10_000, 1, 1_000_000),
	}
	if (ca.TLSCert == "") != (ca.TLSKey == "") {
		re.addFault("tls_cert", "want tls_cert and tls_key together")
	}
	if ca.TLSRequired && ca.TLSCert == "" {
		re.addFault("tls_required", "want tls_cert and tls_key as well")
	}
	return ca
}
