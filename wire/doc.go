// Package wire carries typed messages between the processes of the system.
//
// # Scope
//
// A process opens one QUIC connection to each peer that it talks to and one
// stream on it for each exchange. The first message of a stream names its Kind;
// the Mux of the receiver hands the stream to the handler of that kind. Both
// ends present a certificate of the system's own authority.
//
// # Notation
//
// A message is one CBOR item behind its length, four bytes in network order.
package wire
