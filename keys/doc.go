// Package keys makes a test authority and the certificates below it, and loads
// certificates from files that may be replaced while the process runs.
package keys
