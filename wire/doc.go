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
// While a handler sends nothing, the Mux sends heartbeats. Receive of a client fails
// with ErrClosed if neither messages nor heartbeats arrive on its stream for 3 s, or
// with ErrMalformed if the silence begins after the length of a message; the caller
// cancels the stream. If nothing has arrived on any stream of the connection for
// that long, the client closes the connection.
//
// # Notation
//
// A message is a CBOR item preceded by its length in bytes, a four-byte integer in
// network byte order. A heartbeat is a message of length zero.
package wire
