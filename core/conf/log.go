package conf

import "log/slog"

// Log configures the log output.
type Log struct {
	// Level is the lowest level that is logged.
	Level slog.Level
	// Format is "json" or "text".
	Format string
}

func parseLog(re *reader) Log {
	lo := Log{Format: re.choice("format", "json", "json", "text")}
	name := re.choice("level", "info", "debug", "info", "warn", "error")
	_ = lo.Level.UnmarshalText([]byte(name))
	return lo
}
