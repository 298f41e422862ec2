package conf

// Admin configures the HTTP endpoint for health, status and metrics.
type Admin struct {
	// Listen is the HTTP address, "ip:port".
	Listen string
}

func parseAdmin(re *reader) Admin {
	return Admin{Listen: re.address("listen", "127.0.0.1:6434")}
}
