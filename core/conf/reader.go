// Package conf reads a daemon's settings from an INI file. It validates every
// value, rejects unknown sections and keys, and reports all faults at once.
package conf

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Fault is one error in a settings file.
type Fault struct {
	File, Section, Key string
	// Reason says what is wrong and what is allowed.
	Reason string
}

// Faults is the error for an invalid settings file.
type Faults struct {
	// List is never empty.
	List []Fault
}

// Error implements error with one line for each fault.
func (fa *Faults) Error() string {
	lines := make([]string, len(fa.List))
	for pos, ft := range fa.List {
		lines[pos] = fmt.Sprintf("%s: [%s] %s: %s", ft.File, ft.Section, ft.Key, ft.Reason)
	}
	return strings.Join(lines, "\n")
}

// reader reads one section and collects faults. After a fault number and duration
// return the fallback, boolean returns false, and the other methods return the
// invalid value. Only further checks use it, since the settings are then rejected.
type reader struct {
	file    string
	section *ini.Section
	// known holds the keys read so far.
	known  []string
	faults *[]Fault
}

func (re *reader) addFault(key, format string, args ...any) {
	*re.faults = append(*re.faults, Fault{
		File:    re.file,
		Section: re.section.Name(),
		Key:     key,
		Reason:  fmt.Sprintf(format, args...),
	})
}

// raw returns the trimmed value of the key, or the fallback if the key is
// absent, and marks the key as known.
func (re *reader) raw(key, fallback string) string {
	re.known = append(re.known, key)
	if !re.section.HasKey(key) {
		return fallback
	}
	return strings.TrimSpace(re.section.Key(key).String())
}

// text reads a string; an empty value is a fault if the key is required.
func (re *reader) text(key, fallback string, required bool) string {
	val := re.raw(key, fallback)
	if required && val == "" {
		re.addFault(key, "want a value")
	}
	return val
}

// choice reads one of the allowed strings.
func (re *reader) choice(key, fallback string, allowed ...string) string {
	val := re.raw(key, fallback)
	if !slices.Contains(allowed, val) {
		re.addFault(key, "want one of %s, got %q", strings.Join(allowed, ", "), val)
	}
	return val
}

// address reads "ip:port"; an empty value is allowed if the fallback is empty.
func (re *reader) address(key, fallback string) string {
	val := re.raw(key, fallback)
	if val == "" && fallback == "" {
		return val
	}
	if _, err := netip.ParseAddrPort(val); err != nil {
		re.addFault(key, "want ip:port, got %q", val)
	}
	return val
}

// addresses reads a comma-separated list of "ip:port"; it may be empty.
func (re *reader) addresses(key string) []string {
	var out []string
	for _, part := range strings.Split(re.raw(key, ""), ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(part); err != nil {
			re.addFault(key, "want ip:port, got %q", part)
		}
		out = append(out, part)
	}
	return out
}

// number reads an integer from low to high.
func (re *reader) number(key string, fallback, low, high int) int {
	val := re.raw(key, strconv.Itoa(fallback))
	num, err := strconv.Atoi(val)
	if err != nil || num < low || num > high {
		re.addFault(key, "want a number from %d to %d, got %q", low, high, val)
		return fallback
	}
	return num
}

// duration reads a duration from low to high.
func (re *reader) duration(key string, fallback, low, high time.Duration) time.Duration {
	val := re.raw(key, fallback.String())
	dur, err := time.ParseDuration(val)
	if err != nil || dur < low || dur > high {
		re.addFault(key, "want a duration from %v to %v, got %q", low, high, val)
		return fallback
	}
	return dur
}

// boolean reads a value that strconv.ParseBool accepts.
func (re *reader) boolean(key string, fallback bool) bool {
	val := re.raw(key, strconv.FormatBool(fallback))
	on, err := strconv.ParseBool(val)
	if err != nil {
		re.addFault(key, "want true or false, got %q", val)
	}
	return on
}

// rejectUnknownKeys adds a fault for each key of the section that was not read.
// It must be called after all keys have been read.
func (re *reader) rejectUnknownKeys() {
	for _, key := range re.section.KeyStrings() {
		if !slices.Contains(re.known, key) {
			re.addFault(key, "unknown key; known keys are %s", strings.Join(re.known, ", "))
		}
	}
}
