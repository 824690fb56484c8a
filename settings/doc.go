// Package settings reads the settings of a process from a TOML file.
//
// Every key is checked before the process starts, and all errors are reported
// together, each with its file, line and key.
package settings
