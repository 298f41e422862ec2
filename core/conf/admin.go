package conf

// Admin says where the daemon serves health, status and metrics.
type Admin struct {
	// Listen is the address for HTTP, "ip:port".
	Listen string
}

func parseAdmin(re *reader) Admin {
	return Admin{Listen: re.address("listen", "127.0.0.1:6434")}
}
