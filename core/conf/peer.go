package conf

// Peer configures the connections between daemons.
type Peer struct {
	// Listen is the gRPC address, "ip:port".
	Listen string
	// TLSCert, TLSKey and TLSAuthority are paths of PEM files for mutual TLS;
	// without them, connections between daemons are not encrypted.
	TLSCert, TLSKey, TLSAuthority string
	// Seeds holds the addresses of peers from which a daemon reads groups,
	// configuration and instances if the platform's store is down at startup.
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
		re.addFault("tls_cert", "want tls_cert, tls_key and tls_authority together")
	}
	return pe
}
