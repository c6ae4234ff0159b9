package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MalformedError is a body that cannot be read, or a field of it that is not valid. Its text goes to
// users and agents, and is part of the wire.
type MalformedError struct {
	// Field is the wire's name for the field at fault; empty if the body as a whole is.
	Field string
	err   error
}

// Error is the text that the sender of the body gets.
func (e *MalformedError) Error() string { return e.err.Error() }

// Unwrap returns what a decoder said, if one did.
func (e *MalformedError) Unwrap() error { return errors.Unwrap(e.err) }

// malformed is an error of a field whose text is all the format's.
func malformed(field, format string, args ...any) error {
	return &MalformedError{Field: field, err: fmt.Errorf(format, args...)}
}

// malformedField is an error of a field whose text begins with the field's name.
func malformedField(field, format string, args ...any) error {
	return malformed(field, "%s: %s", field, fmt.Sprintf(format, args...))
}

// malformedJSON is an error of encoding/json, whose text has a prefix.
func malformedJSON(prefix string, err error) error {
	field := ""
	if wrongType, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		field = wrongType.Field
	}
	return malformed(field, "%s: %w", prefix, err)
}
