// Package scenario plays scenarios, written as small text files, against the
// core in simulated time: with stand-ins of the state service, the cloud, the
// workers and the users, written from the protocol, and with faults. Every rule
// of the protocol is checked after every step. Messages cross the wire format,
// so that encoding and decoding are played too. All of it is test code.
package scenario
