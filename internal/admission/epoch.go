package admission

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pipitlatch/internal/micros"
)

// Points is how many positions the circle has on which the ids of jobs lie.
const Points = 1 << 20

// positionBits is the binary logarithm of Points.
const positionBits = 20

// position is the place of a job's id on the circle, the same on every controller.
func position(id string) uint32 { return uint32(xxhash.Sum64String(id) >> (64 - positionBits)) }

// Window is the part of the circle whose jobs are admitted: Width positions from Start on, and the
// last Before positions of earlier windows, for controllers and users that learn of a window late.
type Window struct {
	Start  uint32 `json:"s"`
	Width  uint32 `json:"w"`
	Before uint32 `json:"b,omitempty"`
}

// wrap brings a position onto the circle.
func wrap(p uint32) uint32 { return p % Points }

// admits tells whether the window covers a position.
func (w Window) admits(p uint32) bool {
	return wrap(p+Points-w.Start) < w.Width || wrap(w.Start+Points-1-p) < w.Before
}

// maxBeforeWidths bounds Before, in widths of the window. A user who comes back at the promised turn
// is late where windows have grown meanwhile, and would have to wait for another round. Most of the
// jobs there were accepted already, so that few more come in this way.
const maxBeforeWidths = 3

// next is the window that follows, with another width: it goes on where this one ends, so
// that windows cover the whole circle one after the other.
func (w Window) next(width uint32) Window {
	before := min(w.Before+w.Width, maxBeforeWidths*w.Width, Points-width)
	return Window{Start: wrap(w.Start + w.Width), Width: width, Before: before}
}

// valid tells whether the window lies on the circle.
func (w Window) valid() bool {
	return w.Start < Points && w.Width >= 1 && w.Width <= Points && w.Before <= Points-w.Width
}

// Epoch is a decision of the cluster leader: for a time, which part of each flow's jobs is admitted.
// It is stored, so that every controller reads the same.
type Epoch struct {
	Number   uint64            `json:"n"`
	Leader   uint64            `json:"l"`  // fencing token of the cluster leader that wrote it
	Written  micros.Time       `json:"at"` // time of day
	Length   micros.Time       `json:"e"`  // until the next is due
	Validity micros.Time       `json:"v"`  // until it ends by itself
	Windows  map[string]Window `json:"w"`  // by flow key
	Rest     Window            `json:"r"`  // for flows without a window
}

// Bounds on an epoch's times.
const (
	minLength   = micros.Second
	maxLength   = 60 * micros.Second
	maxValidity = 10 // lengths
)

// Why a record does not come into force as an epoch.
var (
	ErrMalformed     = errors.New("malformed epoch")
	ErrContradictory = errors.New("contradictory epoch")
	ErrStale         = errors.New("stale epoch")
)

// Parse reads and checks an epoch's record.
func Parse(raw json.RawMessage) (*Epoch, error) {
	var e Epoch
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	switch {
	case e.Number == 0 || e.Leader == 0:
		return nil, fmt.Errorf("%w: no number or no leader", ErrMalformed)
	case e.Length < minLength || e.Length > maxLength || e.Validity < e.Length || e.Validity > maxValidity*e.Length:
		return nil, fmt.Errorf("%w: length %d, validity %d", ErrMalformed, e.Length, e.Validity)
	case len(e.Windows) > 2*MaxFlows:
		return nil, fmt.Errorf("%w: %d windows", ErrMalformed, len(e.Windows))
	case !e.Rest.valid():
		return nil, fmt.Errorf("%w: window %+v", ErrMalformed, e.Rest)
	}
	for key, w := range e.Windows {
		if !w.valid() {
			return nil, fmt.Errorf("%w: window %s %+v", ErrMalformed, key, w)
		}
	}
	return &e, nil
}

// window is the window of a flow: its own, its team's or that of all others.
func (e *Epoch) window(f Flow) Window {
	for _, g := range []Flow{f, f.TeamRest()} {
		if w, ok := e.Windows[g.Key()]; ok {
			return w
		}
	}
	return e.Rest
}

// Admits tells whether a job is admitted: a function of epoch, flow and id alone, so that two
// controllers with the same epoch never differ.
func (e *Epoch) Admits(f Flow, id string) bool { return e.window(f).admits(position(id)) }

// RetryDelay is how long after the beginning of the epoch a job that it does not admit will be admitted, as
// long as the windows stay as wide. Within its epoch each job has a moment of its own, so that the
// users of a window do not come back all at once.
func (e *Epoch) RetryDelay(f Flow, id string) micros.Time {
	w := e.window(f)
	ahead := micros.Time(wrap(position(id) + 2*Points - w.Start - w.Width))
	width := micros.Time(w.Width)
	return e.Length + ahead/width*e.Length + ahead%width*e.Length/width
}
