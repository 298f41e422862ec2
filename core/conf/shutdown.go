package conf

import "time"

// Shutdown says how a daemon leaves.
type Shutdown struct {
	// Deadline bounds the wait for sessions and transactions to end.
	Deadline time.Duration
	// IdleGrace is how long a session must have been idle to be closed early.
	IdleGrace time.Duration
	// LastCall is how long before the deadline new requests are refused.
	LastCall time.Duration
}

func parseShutdown(re *reader) Shutdown {
	sh := Shutdown{
		Deadline:  re.span("deadline", 30*time.Second, 100*time.Millisecond, time.Hour),
		IdleGrace: re.span("idle_grace", 500*time.Millisecond, time.Millisecond, time.Minute),
		LastCall:  re.span("last_call", 5*time.Second, time.Millisecond, time.Hour),
	}
	if sh.LastCall >= sh.Deadline {
		re.fail("last_call", "want less than deadline %v, got %v", sh.Deadline, sh.LastCall)
	}
	return sh
}
