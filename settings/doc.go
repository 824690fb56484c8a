// Package settings reads the settings of a process from a TOML file.
//
// Load reads and checks a file for one role of a process; Parse does so for text. Both
// check every key, and report all problems together, each with its file, line and key,
// so that a process does not start with invalid settings.
package settings
