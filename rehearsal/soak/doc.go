// Package soak runs one site for some twenty seconds under faults generated from a seed, with more concurrent faults
// than any scenario of rehearsal/processes has, and checks what clients, hosts and the kernel observed. It has three
// parts:
//
//	GeneratePlan  returns the Plan of a seed: nodes, hosts, clients, and the faults with their times
//	Run           runs the plan on real processes of the program (rehearsal/processes) and returns a Record
//	Judge         checks each rule on the Record and returns the worst value observed and its bound
//
// No check relies on what a node reports about itself. Each bound is given by the operators or follows from the
// settings; the comment on the bound names its source. A seed determines the faults, their times and the clients.
// Scheduling differs between runs of one seed, so a Record keeps the events with the times at which they happened.
package soak
