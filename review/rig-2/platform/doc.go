// Rig runs the scripts of the second review: it starts entries of foxtailstack as processes
// of their own beside stand-ins of the platform's store, of workers and of clients, on
// loopback addresses and the real clock.
package main
