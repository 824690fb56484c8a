// Package keys provides the TLS configurations of the processes. Load reads them
// from certificate files that may be replaced while the process runs. NewAuthority
// and NewLoopback create certificates for tests and demonstrations.
package keys
