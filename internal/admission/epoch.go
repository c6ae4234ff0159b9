package admission

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pipitlatch/internal/micros"
)

// Points is the number of positions on the hash ring onto which job ids are mapped.
const Points = 1 << 20

// positionBits is the binary logarithm of Points.
const positionBits = 20

// position maps a job id onto the hash ring; the result is the same on every controller.
func position(id string) uint32 { return uint32(xxhash.Sum64String(id) >> (64 - positionBits)) }

// Window is the part of the hash ring whose jobs are admitted: Width positions from Start on, and the
// last Before positions of earlier windows, for controllers and clients that learn of a window late.
type Window struct {
	Start  uint32 `json:"s"`
	Width  uint32 `json:"w"`
	Before uint32 `json:"b,omitempty"`
}

// wrap reduces a position modulo the size of the ring.
func wrap(p uint32) uint32 { return p % Points }

// admits reports whether the window covers a position.
func (w Window) admits(p uint32) bool {
	return wrap(p+Points-w.Start) < w.Width || wrap(w.Start+Points-1-p) < w.Before
}

// maxBeforeWidths bounds Before, in widths of the window. Where windows have grown meanwhile, they have
// passed a job by the time its client retries after the requested delay, and without Before it would
// have to wait for another round of the ring. Most jobs in earlier windows have been accepted already,
// so that few additional jobs are admitted this way.
const maxBeforeWidths = 3

// next returns the following window, with the given width. It starts where this one ends, so that
// successive windows cover the whole ring.
func (w Window) next(width uint32) Window {
	before := min(w.Before+w.Width, maxBeforeWidths*w.Width, Points-width)
	return Window{Start: wrap(w.Start + w.Width), Width: width, Before: before}
}

// valid reports whether the window lies on the ring and does not overlap itself.
func (w Window) valid() bool {
	return w.Start < Points && w.Width >= 1 && w.Width <= Points && w.Before <= Points-w.Width
}

// Epoch is a decision of the cluster leader on which part of each flow's jobs is admitted for a
// limited time. It is stored, so that every controller applies the same decision.
type Epoch struct {
	Number   uint64            `json:"n"`
	Leader   uint64            `json:"l"`  // fencing token of the cluster leader that wrote it
	Written  micros.Time       `json:"at"` // wall-clock time
	Length   micros.Time       `json:"e"`  // time until the next epoch is due
	Validity micros.Time       `json:"v"`  // time until it expires if no other epoch follows
	Windows  map[string]Window `json:"w"`  // by flow key
	Rest     Window            `json:"r"`  // for flows without a window
}

// Bounds on the length and validity of an epoch.
const (
	minLength   = micros.Second
	maxLength   = 60 * micros.Second
	maxValidity = 10 // in epoch lengths
)

// Reasons for which View.Observe rejects an epoch record.
var (
	ErrMalformed     = errors.New("malformed epoch")
	ErrContradictory = errors.New("contradictory epoch")
	ErrStale         = errors.New("stale epoch")
)

// Parse decodes and validates an epoch record.
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

// window returns the window of a flow: its own, else that of its team's remaining classes, else Rest.
func (e *Epoch) window(f Flow) Window {
	for _, g := range []Flow{f, f.TeamRest()} {
		if w, ok := e.Windows[g.Key()]; ok {
			return w
		}
	}
	return e.Rest
}

// Admits reports whether a job is admitted. The result depends on epoch, flow and id alone, so that
// two controllers with the same epoch always agree.
func (e *Epoch) Admits(f Flow, id string) bool { return e.window(f).admits(position(id)) }

// RetryDelay returns how long after the start of this epoch a job that it does not admit will be
// admitted, provided that the windows keep their width. Retries are spread over the epoch by position,
// so that the clients of a window do not all retry at once.
func (e *Epoch) RetryDelay(f Flow, id string) micros.Time {
	w := e.window(f)
	ahead := micros.Time(wrap(position(id) + 2*Points - w.Start - w.Width))
	width := micros.Time(w.Width)
	return e.Length + ahead/width*e.Length + ahead%width*e.Length/width
}
