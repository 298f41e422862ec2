package conf

// Daemon says which instance this is and where it stands.
type Daemon struct {
	// ID is unique in the fleet.
	ID string
	// Domain is the failure domain.
	Domain string
	// Region is the region of the failure domain.
	Region string
}

func parseDaemon(re *reader) Daemon {
	return Daemon{
		ID:     re.text("id", "", true),
		Domain: re.text("domain", "", true),
		Region: re.text("region", "", true),
	}
}
