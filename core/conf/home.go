package conf

import "time"

// Home configures the pools of connections to the upstreams that this daemon is
// home of.
type Home struct {
	// DialTimeout limits the time to connect and log in to an upstream.
	DialTimeout time.Duration
	// SilentAfter is the time without progress on an upstream connection after
	// which the upstream is probed over a new connection.
	SilentAfter time.Duration
	// CancelGrace is the time that a statement may take to end after it was
	// cancelled. Then its connection is given up and closed.
	CancelGrace time.Duration
	// ConfirmTimeout limits the wait for a majority to confirm a commit. Then the
	// caller is told that the outcome of the commit is unknown.
	ConfirmTimeout time.Duration
	// IdleConnection is the time after which an idle upstream connection is
	// closed.
	IdleConnection time.Duration
	// QueueTotal limits the requests of all callers that wait for one upstream.
	QueueTotal int
	// User and Password are the credentials for the upstreams.
	User, Password string
	// StatementsPerConnection limits the prepared statements that are cached on
	// an upstream connection.
	StatementsPerConnection int
}

func parseHome(re *reader) Home {
	return Home{
		DialTimeout:             re.duration("dial_timeout", 2*time.Second, 10*time.Millisecond, time.Minute),
		SilentAfter:             re.duration("silent_after", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
		CancelGrace:             re.duration("cancel_grace", time.Second, 10*time.Millisecond, time.Minute),
		ConfirmTimeout:          re.duration("confirm_timeout", 5*time.Second, 10*time.Millisecond, time.Minute),
		IdleConnection:          re.duration("idle_connection", 5*time.Minute, time.Second, 24*time.Hour),
		QueueTotal:              re.number("queue_total", 4096, 1, 1_000_000),
		User:                    re.text("user", "banyanspring", true),
		Password:                re.text("password", "", false),
		StatementsPerConnection: re.number("statements_per_connection", 256, 1, 100_000),
	}
}
