// Package coordination is the service's core: a deterministic state machine.
// Inputs (requests, completions, timers) go in; answers, calls and messages to
// peers come out. There is no clock, goroutine, lock or I/O inside.
package coordination
