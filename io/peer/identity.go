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

// Identity is the certificate by which daemons authenticate to each other. Any
// certificate issued by the authority is accepted as a daemon's. The files are
// reloaded when they change.
type Identity struct {
	cert, key, authority string

	mu sync.Mutex
	// modTime is the newest modification time of the files when last read.
	modTime time.Time
	pair    tls.Certificate
	pool    *x509.CertPool
}

// NewIdentity reads the PEM files of a certificate, its key and the certificate
// authority.
func NewIdentity(cert, key, authority string) (*Identity, error) {
	id := &Identity{cert: cert, key: key, authority: authority}
	_, _, err := id.load()
	return id, err
}

// load returns the current certificate and authority and reloads them if a file
// has changed. If that fails, the last ones stay in use.
func (id *Identity) load() (tls.Certificate, *x509.CertPool, error) {
	id.mu.Lock()
	defer id.mu.Unlock()
	newest, err := newestModTime(id.cert, id.key, id.authority)
	if err == nil && newest.After(id.modTime) {
		err = id.readFiles(newest)
	}
	if err != nil && id.pool == nil {
		return tls.Certificate{}, nil, err
	}
	return id.pair, id.pool, nil
}

func newestModTime(paths ...string) (time.Time, error) {
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

// readFiles reads the certificate and the authority into id; mu is held.
func (id *Identity) readFiles(newest time.Time) error {
	pair, err := tls.LoadX509KeyPair(id.cert, id.key)
	if err != nil {
		return errors.Wrap(err, "load peer certificate")
	}
	raw, err := os.ReadFile(id.authority)
	if err != nil {
		return errors.Wrap(err, "read peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return errors.Newf("peer authority file %s contains no PEM certificate", id.authority)
	}
	id.pair, id.pool, id.modTime = pair, pool, newest
	return nil
}

// Credentials returns mutual TLS credentials for clients and servers.
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
		// Peers are dialled by address, so host names can't be verified; verify
		// checks the certificate of either side against the authority instead.
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
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "peer certificate")
}
