// Package quarantine keeps requests that crash the upstreams that run them away from
// further upstreams.
//
// # Scope
//
// A List counts, by the Fingerprint of a request, the crashes of upstreams that ran
// it. One crash makes the request a suspect, since it may have been there by chance;
// two put it into quarantine. The package does no input or output: its users detect
// crashes and pass them on to other entries.
package quarantine
