// Package soak runs the real programs as separate processes under random faults
// and checks what callers and upstreams see.
//
// # Scope
//
// A run starts entries and sidecars on addresses of the loopback network, before
// stand-ins for the store, for plain upstreams of two services that share their routes and
// for a model group. Every way
// to a stand-in leads through a proxy that delays, resets, cuts or silences it;
// upstreams send bytes without end in every part of an answer, and heads that are cut off;
// plain ones have slots and a queue, answer before a body is in, run requests and fail them,
// repeat refusals, and give up their address to others while requests wait;
// callers read long answers slowly, send bodies late, send several requests at once, come in
// bursts, leave, and send again what was refused;
// processes are killed, stopped, paused, restarted and told to reload; ranks crash, and
// their group opens anew. Further plain upstreams are processes (the test binary runs itself
// again): they have slots and a queue, refuse what is late or for another name, and are
// killed, replaced, drained and frozen with requests in their sockets, which some run long after
// their callers have left. Proxies before them and before entries hold bytes back and deliver
// them late, cut heads, and wait for a target that is down. Entries are also frozen and killed
// as a request begins to run, all at once, and stopped while an upstream does not answer.
// Rounds of
// trouble and of calm follow each other. All of it is in the tests:
//
//	go test ./soak -run Soak -soak.seed 7 -soak.rounds 3 -v
//	go test ./soak -run Soak -soak.seeds 50 -timeout 60m
//	go test ./soak -run Soak -soak.entries 20 -soak.ranks 30 -soak.plain 20
//	go test ./soak -run Soak -soak.binary PATH -soak.logs DIR -soak.repeats 0.5
//
// Processes use the time of day for the stamps of log lines only, so that clocks do
// not jump here: nothing would follow from it.
//
// # Promises checked
//
//   - A booking runs at most once, and one that was said not to have run has not and does not
//     later. The same holds for a stream that may not be resumed, and for a request of which a
//     part was sent before. What an HTTP client has sent twice by itself may run as often.
//   - The body that reaches an upstream is that of the caller.
//   - A success is the whole answer to the caller's own request; events of a
//     stream come in order, each once, to the last.
//   - A key that was taken away stops within its time, in trouble as well.
//   - No pass of the group begins with two maps.
//   - A planned stop in calm cuts no request.
//   - A request that crashes the upstreams that run it is not sent on once three have
//     crashed, after a time in which all entries can know.
//   - An upstream that names a limit gets no more in calm.
//   - In calm, nearly all is served. Requests that their upstream has run and failed do not count,
//     as they may not be sent on, nor do those whose caller has left and those behind an answer
//     after which their connection ended.
//   - No process passes the memory of its settings.
package soak
