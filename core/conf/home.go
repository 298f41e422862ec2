package conf

import "time"

// Home says how the daemon treats the upstreams that it is home of.
type Home struct {
	// DialTimeout bounds a new upstream connection.
	DialTimeout time.Duration
	// SilentAfter is how long an upstream connection may make no progress
	// before it is tested.
	SilentAfter time.Duration
	// CancelGrace is how long a cancelled statement may take to end.
	CancelGrace time.Duration
	// ConfirmTimeout bounds the wait for a majority after a commit.
	ConfirmTimeout time.Duration
	// IdleConnection is how long an unused upstream connection is kept.
	IdleConnection time.Duration
	// QueueTotal bounds the requests that wait for one upstream.
	QueueTotal int
	// User and Password log in to the upstreams.
	User, Password string
	// StatementsPerConnection bounds the prepared statements on a connection.
	StatementsPerConnection int
}

func parseHome(re *reader) Home {
	return Home{
		DialTimeout:             re.span("dial_timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		SilentAfter:             re.span("silent_after", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
		CancelGrace:             re.span("cancel_grace", time.Second, 10*time.Millisecond, time.Minute),
		ConfirmTimeout:          re.span("confirm_timeout", 5*time.Second, 10*time.Millisecond, time.Minute),
		IdleConnection:          re.span("idle_connection", 5*time.Minute, time.Second, 24*time.Hour),
		QueueTotal:              re.number("queue_total", 4096, 1, 1_000_000),
		User:                    re.text("user", "banyanspring", true),
		Password:                re.text("password", "", false),
		StatementsPerConnection: re.number("statements_per_connection", 256, 1, 100_000),
	}
}
