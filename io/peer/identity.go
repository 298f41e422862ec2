package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
)

// Identity is the certificate by which daemons know each other: whoever has one
// of the authority is a daemon. The files are read again when they change.
type Identity struct {
	cert, key, authority string

	mu sync.Mutex
	// changed is the newest time of the files that were read.
	changed time.Time
	pair    tls.Certificate
	pool    *x509.CertPool
}

// NewIdentity reads the PEM files of a certificate, its key and its authority.
func NewIdentity(cert, key, authority string) (*Identity, error) {
	id := &Identity{cert: cert, key: key, authority: authority}
	_, _, err := id.load()
	return id, err
}

// load returns the certificate and the authority as the files hold them now. If
// they cannot be read any more, the last ones stay in force.
func (id *Identity) load() (tls.Certificate, *x509.CertPool, error) {
	id.mu.Lock()
	defer id.mu.Unlock()
	newest, err := newestOf(id.cert, id.key, id.authority)
	if err == nil && newest.After(id.changed) {
		err = id.read(newest)
	}
	if err != nil && id.pool == nil {
		return tls.Certificate{}, nil, err
	}
	return id.pair, id.pool, nil
}

func newestOf(paths ...string) (time.Time, error) {
	var newest time.Time
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return newest, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// read replaces what is in force; mu is held.
func (id *Identity) read(newest time.Time) error {
	pair, err := tls.LoadX509KeyPair(id.cert, id.key)
	if err != nil {
		return errors.Wrap(err, "peer certificate")
	}
	raw, err := os.ReadFile(id.authority)
	if err != nil {
		return errors.Wrap(err, "peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return errors.Newf("peer authority %s holds no certificate", id.authority)
	}
	id.pair, id.pool, id.changed = pair, pool, newest
	return nil
}

// Credentials returns transport credentials for both ends.
func (id *Identity) Credentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _, err := id.load()
			return &pair, err
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _, err := id.load()
			return &pair, err
		},
		// Peers are reached by address, so that names mean nothing; verify holds
		// every certificate, of either end, against the authority.
		InsecureSkipVerify: true, //nolint:gosec // verified by VerifyConnection
		VerifyConnection:   id.verify,
	})
}

func (id *Identity) verify(state tls.ConnectionState) error {
	_, pool, err := id.load()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	between := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "peer certificate")
}
