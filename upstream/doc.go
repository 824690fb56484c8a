// Package upstream implements the sidecar of one engine or plain service.
//
// # Scope
//
// The Server receives attempts from entries, admits them with an
// AdmissionController, runs them on the engine and sends the responses back. Only a
// Refusal guarantees that the engine has not seen the attempt; after a Failure or a
// lost stream the outcome is unknown. The Reconciler orders the engine to load what
// the configuration declares.
//
// # Protocol
//
// A stream of kind StreamAttempt carries one attempt as a sequence of Frames. The
// entry sends Open. If Open asks for a reservation, as it does for a non-idempotent
// attempt, the sidecar sends Reserved once the attempt is admitted, and the entry
// sends Run to start it. The sidecar sends the response as Head, Data and End, or ends
// the attempt with Refusal or Failure.
package upstream
