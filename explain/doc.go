// Package explain reports from the logs of many processes what happened to one
// request, and which state its entry had observed by then.
//
// Read parses the logs of any number of processes, in the logfmt form in which the
// processes write them. NewReport selects the lines that concern one request: the
// lines that name it, the lines with the state that its entry had last observed, and
// the lines that planners and sidecars of groups wrote from shortly before its first
// line to its last. The observed state is that of the entry itself, the configuration,
// the store, the upstreams that the request was sent to, and the ranks and groups of
// its service. Report.Write prints the lines, followed by the outcome of the request.
//
// # Order
//
// Lines of one process must stand in the order in which it wrote them. Clocks of
// different machines differ. The position of a line among those of other processes
// therefore follows the clock only, and Report.Write marks such lines with "~".
package explain
