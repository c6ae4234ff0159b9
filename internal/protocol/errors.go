package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MalformedError reports a body that can't be decoded or that has an invalid field. Its text is returned
// to users and agents and is part of the wire format.
type MalformedError struct {
	// Field is the wire name of the invalid field; empty if the error concerns the whole body.
	Field string
	err   error
}

// Error returns the text that the sender of the body receives.
func (e *MalformedError) Error() string { return e.err.Error() }

// Unwrap returns the decoder's error, if there is one.
func (e *MalformedError) Unwrap() error { return errors.Unwrap(e.err) }

// malformed returns an error for a field. The text does not include the field's name.
func malformed(field, format string, args ...any) error {
	return &MalformedError{Field: field, err: fmt.Errorf(format, args...)}
}

// malformedField returns an error for a field, with the field's name as the prefix of the text.
func malformedField(field, format string, args ...any) error {
	return malformed(field, "%s: %s", field, fmt.Sprintf(format, args...))
}

// malformedJSON wraps an error of encoding/json and adds a prefix to its text.
func malformedJSON(prefix string, err error) error {
	field := ""
	if typeError, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		field = typeError.Field
	}
	return malformed(field, "%s: %w", prefix, err)
}
