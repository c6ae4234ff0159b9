package admission

import (
	"encoding/json"
	"fmt"

	"pipitlatch/internal/micros"
)

// View is what one controller knows of the present epoch.
type View struct {
	epoch     *Epoch      // the last one that came into force; nil: none
	validFrom micros.Time // its validity counts from here, on the steady clock
	// newestNumber is the number of the newest record, whether it came into force or not: a number
	// is used once.
	newestNumber uint64
}

// Observe takes an epoch's record as it was read by a request that was sent at a time. The validity
// counts from that sending: a controller that hears nothing any more drops the epoch in time, whatever
// the clocks of others say. After a record with an error the epoch before stays in force until it ends.
func (v *View) Observe(raw json.RawMessage, sent, now, wall, skew micros.Time) error {
	e, err := Parse(raw)
	if err != nil {
		return err
	}
	if v.epoch != nil && e.Number == v.epoch.Number && e.Leader == v.epoch.Leader && e.Written == v.epoch.Written {
		return nil // read again: it gets no younger
	}
	// Only against one in force: after a record that could not be read, a cluster leader that starts
	// anew does not know how far the numbers were, and must not be ignored for ever.
	if c := v.Current(now); c != nil && (e.Number <= c.Number || e.Leader < c.Leader) {
		return fmt.Errorf("%w: number %d of leader %d after number %d of leader %d",
			ErrContradictory, e.Number, e.Leader, c.Number, c.Leader)
	}
	v.newestNumber = max(v.newestNumber, e.Number)
	if wall-e.Written > e.Validity+2*skew || e.Written-wall > 2*skew+micros.Second {
		// Read long after it was written, as by a process that starts anew.
		return fmt.Errorf("%w: number %d", ErrStale, e.Number)
	}
	v.epoch, v.validFrom = e, sent
	return nil
}

// Current is the epoch in force; nil if there is none.
func (v *View) Current(now micros.Time) *Epoch {
	if v.epoch == nil || now-v.validFrom >= v.epoch.Validity {
		return nil
	}
	return v.epoch
}

// Verdict is what an epoch says of a submission.
type Verdict struct {
	Epoch        uint64 // 0: none is in force, so there is no verdict
	Leader       uint64 // fencing token of the cluster leader that wrote the epoch
	Admit        bool
	Unrestricted bool        // the flow gets all that it asks for
	RetryDelay   micros.Time // in how long the job is admitted, if it is not now
}

// MaxRetryDelay is the longest time that a user is asked to wait: users honour no more.
const MaxRetryDelay = 30 * micros.Second

// exactRetryLengths is for how many lengths ahead a turn is promised as it is computed. One further
// ahead comes sooner where windows grow meanwhile, and a user who comes after it waits for another
// round: such a user is asked to come back before it.
const exactRetryLengths = 2

// Verdict judges a submission by the epoch in force.
func (v *View) Verdict(now micros.Time, f Flow, id string) Verdict {
	e := v.Current(now)
	if e == nil {
		return Verdict{}
	}
	if e.Admits(f, id) {
		return Verdict{Epoch: e.Number, Leader: e.Leader, Admit: true, Unrestricted: e.window(f).Width == Points}
	}
	turn := e.RetryDelay(f, id) - (now - v.validFrom)
	if near := e.Length * exactRetryLengths; turn > near {
		turn = near + (turn-near)*6/10
	}
	return Verdict{Epoch: e.Number, Leader: e.Leader, RetryDelay: min(MaxRetryDelay, max(micros.Second, turn))}
}
