package conf

// Daemon identifies the instance and its location.
type Daemon struct {
	// ID is unique among all daemons.
	ID string
	// Domain is the failure domain.
	Domain string
	// Region is the region that the failure domain belongs to.
	Region string
}

func parseDaemon(re *reader) Daemon {
	return Daemon{
		ID:     re.text("id", "", true),
		Domain: re.text("domain", "", true),
		Region: re.text("region", "", true),
	}
}
