package main

import "errors"

// exitCode is the exit status of the program.
type exitCode int

// The exit statuses. Those of a mistake on the command line are the parser's.
const (
	exitOK          exitCode = 0
	exitFailed      exitCode = 1
	exitBadSettings exitCode = 2
)

// settingsError ends the program with exitBadSettings; its text has a line a fault.
type settingsError struct{ err error }

func (e *settingsError) Error() string { return e.err.Error() }

func (e *settingsError) Unwrap() error { return e.err }

// exitCodeOf is the exit status for what a command returned, which the parser may have wrapped.
func exitCodeOf(err error) exitCode {
	if err == nil {
		return exitOK
	}
	if _, ok := errors.AsType[*settingsError](err); ok {
		return exitBadSettings
	}
	return exitFailed
}
