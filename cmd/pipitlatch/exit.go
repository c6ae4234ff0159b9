package main

import "errors"

type exitCode int

// Exit statuses of commands. The parser has its own for command-line errors.
const (
	exitOK          exitCode = 0
	exitFailed      exitCode = 1
	exitBadSettings exitCode = 2
)

// settingsError reports invalid settings, one problem per line, and results in exitBadSettings.
type settingsError struct{ err error }

func (e *settingsError) Error() string { return e.err.Error() }

func (e *settingsError) Unwrap() error { return e.err }

// exitCodeOf returns the exit status for a command's error, which the parser may have wrapped.
func exitCodeOf(err error) exitCode {
	if err == nil {
		return exitOK
	}
	if _, ok := errors.AsType[*settingsError](err); ok {
		return exitBadSettings
	}
	return exitFailed
}
