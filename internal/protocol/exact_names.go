package protocol

import (
	"encoding/json"
	"math"
	"strconv"
)

// objectFields decodes the fields of a JSON object. If a name occurs more than once, its last value counts.
// Names are kept as they are: encoding/json alone would match them with fields in any case, so that an unknown
// field could replace a known one.
func objectFields(body []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	err := json.Unmarshal(body, &fields)
	return fields, err
}

// unmarshalFields decodes the named fields of a JSON object into a struct.
func unmarshalFields(fields map[string]json.RawMessage, names []string, target any) error {
	known := make(map[string]json.RawMessage, len(names))
	for _, name := range names {
		if value, ok := fields[name]; ok {
			known[name] = value
		}
	}
	return json.Unmarshal(mustJSON(known), target)
}

// wholeNumber returns an integer in the form that encoding/json accepts for one, whatever form of a JSON number it
// has, such as 16.0 or 1.6e1. Any other value is returned unchanged.
func wholeNumber(value json.RawMessage) json.RawMessage {
	var number float64
	if json.Unmarshal(value, &number) != nil || number != math.Trunc(number) || math.Abs(number) > math.MaxInt32 {
		return value
	}
	return json.RawMessage(strconv.FormatInt(int64(number), 10))
}
