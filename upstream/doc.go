// Package upstream is the sidecar: the gate to one engine or plain service.
//
// # Scope
//
// The Server takes attempts from entries, admits them through the Gate, runs
// them on the engine and sends the answers back. It refuses before the engine
// has seen a call, and says so; whatever happens later has an unknown outcome.
//
// # Protocol
//
// One stream carries one attempt as a sequence of Frames. The entry sends Open
// and, for a non-idempotent attempt that was Reserved, Run. The sidecar sends
// Head, Data and End, or ends the attempt with Refusal or Failure.
package upstream
