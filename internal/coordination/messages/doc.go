// Package messages holds what goes into the core and what comes out of it: requests of users and
// heartbeats of agents, completions of calls, messages between controllers, and the responses, calls
// and log records that a step of the core asks for. Package transport carries them, package protocol
// maps them to the wire.
package messages
