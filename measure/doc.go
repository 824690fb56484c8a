// Package measure runs experiments on the decisions of the system, each beside
// simpler policies in the same run.
//
// # Scope
//
// An experiment runs the code that decides in production against small fakes,
// in virtual or real time, and reports one line for each policy. The same seed
// gives the same results where time is virtual.
package measure
