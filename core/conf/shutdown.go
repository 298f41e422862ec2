package conf

import "time"

// Shutdown configures the graceful shutdown of a daemon.
type Shutdown struct {
	// Deadline limits the wait for sessions and transactions to end.
	Deadline time.Duration
	// IdleGrace is how long a session must be idle during the shutdown before
	// it is closed.
	IdleGrace time.Duration
	// LastCall is how long before the deadline the daemon starts to refuse new
	// requests of sessions without an open transaction.
	LastCall time.Duration
}

func parseShutdown(re *reader) Shutdown {
	sh := Shutdown{
		Deadline:  re.duration("deadline", 30*time.Second, 100*time.Millisecond, time.Hour),
		IdleGrace: re.duration("idle_grace", 500*time.Millisecond, time.Millisecond, time.Minute),
		LastCall:  re.duration("last_call", 5*time.Second, time.Millisecond, time.Hour),
	}
	if sh.LastCall >= sh.Deadline {
		re.addFault("last_call", "want less than deadline %v, got %v", sh.Deadline, sh.LastCall)
	}
	return sh
}
