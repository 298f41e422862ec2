package conf

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Settings holds the settings that a daemon reads at startup. They do not
// change while it runs.
type Settings struct {
	Daemon   Daemon
	Caller   Caller
	Peer     Peer
	Admin    Admin
	Platform Platform
	Home     Home
	Shutdown Shutdown
	Log      Log
}

// Load reads a settings file. The error is *Faults if the file can be parsed
// as INI but has invalid settings.
func Load(path string) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", path)
	}
	return parse(path, file)
}

// Parse reads settings from memory; errors give name as the file's name.
func Parse(name string, raw []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, raw)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", name)
	}
	return parse(name, file)
}

func parse(name string, file *ini.File) (Settings, error) {
	var faults []Fault
	var se Settings
	known := []string{ini.DefaultSection}
	read := func(section string, parse func(*reader)) {
		known = append(known, section)
		re := &reader{file: name, section: file.Section(section), faults: &faults}
		parse(re)
		re.rejectUnknownKeys()
	}
	read("daemon", func(re *reader) { se.Daemon = parseDaemon(re) })
	read("caller", func(re *reader) { se.Caller = parseCaller(re) })
	read("peer", func(re *reader) { se.Peer = parsePeer(re) })
	read("admin", func(re *reader) { se.Admin = parseAdmin(re) })
	read("platform", func(re *reader) { se.Platform = parsePlatform(re) })
	read("home", func(re *reader) { se.Home = parseHome(re) })
	read("shutdown", func(re *reader) { se.Shutdown = parseShutdown(re) })
	read("log", func(re *reader) { se.Log = parseLog(re) })
	for _, section := range file.SectionStrings() {
		if !slices.Contains(known, section) {
			reason := "unknown section; known sections are " + strings.Join(known[1:], ", ")
			faults = append(faults, Fault{File: name, Section: section, Key: "*", Reason: reason})
		}
	}
	if len(faults) > 0 {
		return Settings{}, &Faults{List: faults}
	}
	return se, nil
}
