package admission

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pipitlatch/internal/micros"
)

// TestSameVerdictEverywhere checks that two views that read the same record reach the same verdict on
// any job, whatever they read before, for flows with a window, with their team's window, and without.
func TestSameVerdictEverywhere(t *testing.T) {
	e := epochOf(7, map[string]Window{
		Flow{"alpha", "short"}.Key(): {0, Points / 3, 0},
		Flow{"alpha", ""}.Key():      {100, Points / 2, 50},
	}, Window{5, Points / 10, 0})
	var a, b View
	wall := 100 * micros.Second
	if err := b.Observe(encode(t, epochOf(3, nil, Window{0, Points, 0})), 10, 20, wall, 0); err != nil {
		t.Fatal(err)
	}
	for _, v := range []*View{&a, &b} {
		if err := v.Observe(encode(t, e), 1000, 2000, wall, 0); err != nil {
			t.Fatal(err)
		}
	}
	admitted := 0
	for i := range 3000 {
		f, ref := Flow{[]string{"alpha", "beta"}[i%2], []string{"short", "long", "odd"}[i%3]}, fmt.Sprintf("wk-%06d", i)
		x, y := a.Verdict(3000, f, ref), b.Verdict(9000, f, ref)
		if x.Admit != y.Admit || x.Epoch != 7 || y.Epoch != 7 {
			t.Fatalf("%v %s: verdicts %+v and %+v", f, ref, x, y)
		}
		if x.Admit {
			admitted++
		} else if x.RetryDelay < micros.Second || x.RetryDelay > MaxRetryDelay {
			t.Fatalf("retry delay %d us out of range", x.RetryDelay)
		}
	}
	if admitted < 300 || admitted > 1500 {
		t.Errorf("%d of 3000 jobs admitted, want 300 to 1500", admitted)
	}
}

// TestEpochEndsByItself checks that an epoch expires after its validity, counted from the sending of
// the read request.
func TestEpochEndsByItself(t *testing.T) {
	var v View
	record := encode(t, epochOf(1, nil, Window{0, 1, 0}))
	if err := v.Observe(record, 5*micros.Second, 6*micros.Second, 100*micros.Second, 0); err != nil {
		t.Fatal(err)
	}
	if v.Current(17*micros.Second-1) == nil || v.Current(17*micros.Second) != nil {
		t.Error("the validity does not start when the read request was sent")
	}
	// A new watch reads the same record again, which must not extend its validity.
	if err := v.Observe(record, 16*micros.Second, 16*micros.Second, 111*micros.Second, 0); err != nil {
		t.Fatal(err)
	}
	if v.Current(18*micros.Second) != nil {
		t.Error("reading the record again extended its validity")
	}
}

// TestBadEpochsAreIgnored checks that malformed, contradictory and stale records leave the previous
// epoch in force, and that lower numbers are accepted once it has expired.
func TestBadEpochsAreIgnored(t *testing.T) {
	good := epochOf(4, nil, Window{0, Points / 2, 0})
	wall := 100 * micros.Second
	record := func(e *Epoch) string { return string(encode(t, e)) }
	withWindow := func(number uint64, rest Window) string { return record(epochOf(number, nil, rest)) }
	writtenBy := func(number, leader uint64, at micros.Time) string {
		e := epochOf(number, nil, Window{0, 1, 0})
		e.Leader, e.Written = leader, at
		return record(e)
	}
	beyondRing := record(epochOf(5, map[string]Window{"x": {Points, 1, 0}}, Window{0, 1, 0}))
	forEver := strings.Replace(withWindow(5, Window{0, 1, 0}), `"v":12000000`, `"v":9000000000000`, 1)
	for name, c := range map[string]struct {
		raw  string
		want error
	}{
		"not JSON":        {`{"n":`, ErrMalformed},
		"another shape":   {`[1,2]`, ErrMalformed},
		"no number":       {withWindow(0, Window{0, 1, 0}), ErrMalformed},
		"no width":        {withWindow(5, Window{0, 0, 0}), ErrMalformed},
		"beyond the ring": {beyondRing, ErrMalformed},
		"overlaps":        {withWindow(5, Window{0, Points, 1}), ErrMalformed},
		"for ever":        {forEver, ErrMalformed},
		"older number":    {withWindow(3, Window{0, 1, 0}), ErrContradictory},
		"same number":     {writtenBy(4, 5, wall+1), ErrContradictory},
		"older leader":    {writtenBy(9, 4, wall), ErrContradictory},
		"written before":  {writtenBy(9, 6, wall-60*micros.Second), ErrStale},
	} {
		var v View
		if err := v.Observe(encode(t, good), 0, 0, wall, 0); err != nil {
			t.Fatal(err)
		}
		err := v.Observe(json.RawMessage(c.raw), micros.Second, micros.Second, wall, 0)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", name, err, c.want)
		}
		if e := v.Current(2 * micros.Second); e == nil || e.Number != 4 {
			t.Errorf("%s: the previous epoch is not in force", name)
		}
	}
	var v View
	if err := v.Observe(encode(t, good), 0, 0, wall, 0); err != nil {
		t.Fatal(err)
	}
	if err := v.Observe(encode(t, epochOf(1, nil, Window{0, 1, 0})), 20e6, 20e6, wall, 0); err != nil {
		t.Errorf("lower number rejected after the previous epoch expired: %v", err)
	}
}
