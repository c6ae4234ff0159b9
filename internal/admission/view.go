package admission

import (
	"encoding/json"
	"fmt"

	"pipitlatch/internal/micros"
)

// View is one controller's view of the current epoch.
type View struct {
	epoch     *Epoch      // the last epoch that took effect; nil: none
	validFrom micros.Time // start of its validity, on the monotonic clock
	// newestNumber is the highest number read, even from a stale record, since numbers are not reused.
	newestNumber uint64
}

// Observe processes an epoch record that was read by a request sent at the given time. The validity
// starts at that time, so that a controller that is cut off drops the epoch in time, whatever the
// clocks of other controllers. After an invalid record the previous epoch stays in force until it
// expires.
func (v *View) Observe(raw json.RawMessage, sent, now, wall, skew micros.Time) error {
	e, err := Parse(raw)
	if err != nil {
		return err
	}
	if v.epoch != nil && e.Number == v.epoch.Number && e.Leader == v.epoch.Leader && e.Written == v.epoch.Written {
		return nil // reading the same record again does not extend its validity
	}
	// The order is checked only against an epoch in force: a cluster leader that restarts after an
	// unreadable record does not know the last number, and must not be ignored forever.
	if c := v.Current(now); c != nil && (e.Number <= c.Number || e.Leader < c.Leader) {
		return fmt.Errorf("%w: number %d of leader %d after number %d of leader %d",
			ErrContradictory, e.Number, e.Leader, c.Number, c.Leader)
	}
	v.newestNumber = max(v.newestNumber, e.Number)
	if wall-e.Written > e.Validity+2*skew || e.Written-wall > 2*skew+micros.Second {
		// The record was read long after it was written, for example by a restarted process, or the
		// clocks differ by more than the skew allows.
		return fmt.Errorf("%w: number %d", ErrStale, e.Number)
	}
	v.epoch, v.validFrom = e, sent
	return nil
}

// Current returns the epoch in force, or nil if there is none.
func (v *View) Current(now micros.Time) *Epoch {
	if v.epoch == nil || now-v.validFrom >= v.epoch.Validity {
		return nil
	}
	return v.epoch
}

// Verdict is the admission decision of an epoch on a submission.
type Verdict struct {
	Epoch        uint64 // 0: none is in force, so there is no verdict
	Leader       uint64 // fencing token of the cluster leader that wrote the epoch
	Admit        bool
	Unrestricted bool        // the epoch admits all jobs of the flow
	RetryDelay   micros.Time // delay after which a refused job should be submitted again
}

// MaxRetryDelay is the longest delay that a client is asked to wait; clients do not honor longer ones.
const MaxRetryDelay = 30 * micros.Second

// exactRetryLengths is the number of epoch lengths up to which a retry delay is used as computed.
// Longer delays are shortened: where windows grow meanwhile, the job is admitted earlier, and a client
// that retries too late has to wait for another round of the ring.
const exactRetryLengths = 2

// Verdict returns the decision of the epoch in force on a submission.
func (v *View) Verdict(now micros.Time, f Flow, id string) Verdict {
	e := v.Current(now)
	if e == nil {
		return Verdict{}
	}
	if e.Admits(f, id) {
		return Verdict{Epoch: e.Number, Leader: e.Leader, Admit: true, Unrestricted: e.window(f).Width == Points}
	}
	delay := e.RetryDelay(f, id) - (now - v.validFrom)
	if near := e.Length * exactRetryLengths; delay > near {
		delay = near + (delay-near)*6/10
	}
	return Verdict{Epoch: e.Number, Leader: e.Leader, RetryDelay: min(MaxRetryDelay, max(micros.Second, delay))}
}
