package conf

import "time"

// Caller says how callers reach the daemon.
type Caller struct {
	// Listen is the address for the Postgres protocol, "ip:port".
	Listen string
	// TLSCert and TLSKey are PEM files; without them TLS is not offered.
	TLSCert, TLSKey string
	// TLSRequired refuses connections without TLS.
	TLSRequired bool
	// MaxSessions bounds the sessions of all callers.
	MaxSessions int
	// MaxMessageBytes bounds one message of a caller.
	MaxMessageBytes int
	// LoginTimeout bounds the handshake.
	LoginTimeout time.Duration
	// StatementCache is the number of classified texts kept.
	StatementCache int
}

func parseCaller(re *reader) Caller {
	ca := Caller{
		Listen:          re.address("listen", "127.0.0.1:6432"),
		TLSCert:         re.text("tls_cert", "", false),
		TLSKey:          re.text("tls_key", "", false),
		TLSRequired:     re.flag("tls_required", false),
		MaxSessions:     re.number("max_sessions", 10_000, 1, 1_000_000),
		MaxMessageBytes: re.number("max_message_bytes", 16<<20, 1<<10, 1<<30),
		LoginTimeout:    re.span("login_timeout", 10*time.Second, 100*time.Millisecond, time.Minute),
		StatementCache:  re.number("statement_cache", 10_000, 1, 1_000_000),
	}
	if (ca.TLSCert == "") != (ca.TLSKey == "") {
		re.fail("tls_cert", "want tls_cert and tls_key together")
	}
	if ca.TLSRequired && ca.TLSCert == "" {
		re.fail("tls_required", "want tls_cert and tls_key as well")
	}
	return ca
}
