package admission

import (
	"encoding/json"
	"fmt"

	"pipitlatch/internal/micros"
)

// View is what one controller knows of the present epoch.
type View struct {
	epoch *Epoch      // the last one taken; nil: none
	from  micros.Time // its time counts from here, on the steady clock
	// stored is the number of the newest record, taken or not: a number is used once.
	stored uint64
}

// Observe takes an epoch's record as it was read by a request sent at a time. Its validity
// counts from that sending: a controller that hears nothing any more drops it in time,
// whatever the clocks of others say. A record that is not taken leaves the epoch before in
// force until that ends.
func (v *View) Observe(raw json.RawMessage, sent, now, wall, skew micros.Time) error {
	e, err := Parse(raw)
	if err != nil {
		return err
	}
	if v.epoch != nil && e.Number == v.epoch.Number && e.Leader == v.epoch.Leader && e.Written == v.epoch.Written {
		return nil // read again: it gets no younger
	}
	// Only against one in force: after a record that could not be read, a leader that starts
	// anew does not know how far the numbers were, and must not be ignored for ever.
	if c := v.Current(now); c != nil && (e.Number <= c.Number || e.Leader < c.Leader) {
		return fmt.Errorf("%w: number %d of leader %d after number %d of leader %d", ErrContradictory, e.Number, e.Leader, c.Number, c.Leader)
	}
	v.stored = max(v.stored, e.Number)
	if wall-e.Written > e.Validity+2*skew || e.Written-wall > 2*skew+micros.Second {
		// Read long after it was written, as by a process that starts anew.
		return fmt.Errorf("%w: number %d", ErrStale, e.Number)
	}
	v.epoch, v.from = e, sent
	return nil
}

// Current is the epoch in force; nil if there is none.
func (v *View) Current(now micros.Time) *Epoch {
	if v.epoch == nil || now-v.from >= v.epoch.Validity {
		return nil
	}
	return v.epoch
}

// Verdict is what is said to a submission.
type Verdict struct {
	Epoch  uint64 // 0: none is in force, so there is no verdict
	Leader uint64 // that wrote it
	Admit  bool
	Whole  bool        // the flow gets all that it asks for
	Turn   micros.Time // in how long the reference is admitted, if it is not now
}

// MaxTurn is the longest time that users are told to wait: they honour no more.
const MaxTurn = 30 * micros.Second

// surely is for how many lengths ahead a turn is told as it is reckoned. One further ahead
// comes sooner where windows grow meanwhile, and who comes after it waits for another round:
// he is told to ask again before it.
const surely = 2

// Verdict judges a submission by the epoch in force.
func (v *View) Verdict(now micros.Time, f Flow, ref string) Verdict {
	e := v.Current(now)
	if e == nil {
		return Verdict{}
	}
	if e.Admits(f, ref) {
		return Verdict{Epoch: e.Number, Leader: e.Leader, Admit: true, Whole: e.window(f).Width == Points}
	}
	turn := e.Turn(f, ref) - (now - v.from)
	if near := e.Length * surely; turn > near {
		turn = near + (turn-near)*6/10
	}
	return Verdict{Epoch: e.Number, Leader: e.Leader, Turn: min(MaxTurn, max(micros.Second, turn))}
}
