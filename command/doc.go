// Package command is the command line of foxtailstack.
//
// Results go to standard output, errors and logs to standard error.
package command
