// Package timeline keeps the recent events of each process and merges those of
// all processes into one order.
//
// # Notation
//
// Events carry hybrid logical timestamps: the wall clock in nanoseconds, and a
// counter that orders events of causally related processes whose clocks differ.
package timeline
