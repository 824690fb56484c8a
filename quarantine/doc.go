// Package quarantine keeps requests that crash the upstreams that run them away from
// further upstreams.
//
// # Scope
//
// A List records crashes of upstreams by the Fingerprint of each request that ran there,
// and by that of each part of its prompt if no content of the answer had arrived. What a
// crash is recorded under is a suspect, since it may have been there by chance. An answer
// clears a suspect. A second crash under equal requests, or a crash in the trial of a part,
// puts them into quarantine: they are refused. The package does no input or output: its
// users detect crashes and pass them on to other entries.
package quarantine
