package conf

// Peer says how other daemons reach this one.
type Peer struct {
	// Listen is the address for gRPC, "ip:port".
	Listen string
	// TLSCert, TLSKey and TLSAuthority are PEM files for mutual TLS; without
	// them daemons talk in clear text.
	TLSCert, TLSKey, TLSAuthority string
	// Seeds are addresses of peers to start from while the store is down.
	Seeds []string
}

func parsePeer(re *reader) Peer {
	pe := Peer{
		Listen:       re.address("listen", "127.0.0.1:6433"),
		TLSCert:      re.text("tls_cert", "", false),
		TLSKey:       re.text("tls_key", "", false),
		TLSAuthority: re.text("tls_authority", "", false),
		Seeds:        re.addresses("seeds"),
	}
	given := 0
	for _, file := range []string{pe.TLSCert, pe.TLSKey, pe.TLSAuthority} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		re.fail("tls_cert", "want tls_cert, tls_key and tls_authority together")
	}
	return pe
}
