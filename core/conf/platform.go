package conf

import "time"

// Platform configures the client of the platform's object API.
type Platform struct {
	// Address is the address of the API, "ip:port".
	Address string
	// WatchWait is how long a watch request may wait for a change.
	WatchWait time.Duration
	// ListEvery is the interval at which the list of instances is read.
	ListEvery time.Duration
}

func parsePlatform(re *reader) Platform {
	return Platform{
		Address:   re.address("address", "127.0.0.1:6430"),
		WatchWait: re.duration("watch_wait", 30*time.Second, 100*time.Millisecond, 5*time.Minute),
		ListEvery: re.duration("list_every", 2*time.Second, 50*time.Millisecond, time.Minute),
	}
}
