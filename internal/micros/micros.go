// Package micros represents instants and durations as whole microseconds.
package micros

import (
	"math"
	"time"
)

// Time is an instant or a duration, in microseconds.
type Time = int64

// Units of time.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
)

// Max is later than any time in use, and small enough that sums with it do not overflow.
const Max Time = math.MaxInt64 / 4

// FromSeconds converts seconds, rounding to the nearest microsecond.
func FromSeconds(s float64) Time { return Time(math.Round(s * 1e6)) }

// Seconds converts t to seconds.
func Seconds(t Time) float64 { return float64(t) / 1e6 }

// Duration converts t to a time.Duration.
func Duration(t Time) time.Duration { return time.Duration(t) * time.Microsecond }
