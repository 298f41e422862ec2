package conf

import "time"

// Platform says how to reach the platform's object API.
type Platform struct {
	// Address is that of the API, "ip:port".
	Address string
	// WatchWait bounds one waiting watch.
	WatchWait time.Duration
	// ListEvery is the time between two readings of the list of instances.
	ListEvery time.Duration
}

func parsePlatform(re *reader) Platform {
	return Platform{
		Address:   re.address("address", "127.0.0.1:6430"),
		WatchWait: re.span("watch_wait", 30*time.Second, 100*time.Millisecond, 5*time.Minute),
		ListEvery: re.span("list_every", 2*time.Second, 50*time.Millisecond, time.Minute),
	}
}
