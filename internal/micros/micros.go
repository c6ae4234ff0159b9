// Package micros holds the service's unit of time: whole microseconds.
package micros

import (
	"math"
	"time"
)

// Time is a point on a clock, or a span between two, in microseconds.
type Time = int64

// Units of time.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
)

// Max is later than any time in use.
const Max Time = math.MaxInt64 / 4

// FromSeconds converts seconds, rounding to the nearest microsecond.
func FromSeconds(s float64) Time { return Time(math.Round(s * 1e6)) }

// Seconds converts t to seconds.
func Seconds(t Time) float64 { return float64(t) / 1e6 }

// Duration converts t for the standard library.
func Duration(t Time) time.Duration { return time.Duration(t) * time.Microsecond }
