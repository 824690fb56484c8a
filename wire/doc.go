// Package wire sends and receives typed messages between the processes of the
// system over QUIC.
//
// # Scope
//
// A Client keeps one QUIC connection to each peer and opens a stream on it for each
// exchange of messages. The first message of a stream names its Kind. The Mux of the
// receiving process passes the stream to the handler registered for that kind. Both
// ends present certificates issued by the system's own authority.
//
// While a handler sends nothing, the Mux sends heartbeats. A client closes a stream
// on which neither messages nor heartbeats arrive for a few seconds, and the
// connection too if that holds for all its streams.
//
// # Notation
//
// A message is a CBOR item preceded by its length in bytes, a four-byte integer in
// network byte order. A heartbeat is a message of length zero.
package wire
