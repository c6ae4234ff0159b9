// Package messages defines the inputs and outputs of the core: users' requests, agents' heartbeats,
// completions of calls, messages between controllers, and the responses, calls and log records that
// a step of the core produces. Package transport transmits them, and package protocol maps them to
// their wire formats.
package messages
