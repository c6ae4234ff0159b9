package leadership

import (
	"testing"

	"pipitlatch/internal/micros"
)

func TestTermIsValidForItsLengthAfterTheLastConfirmationWasSent(t *testing.T) {
	const length = 10 * micros.Second
	tests := []struct {
		name      string
		confirmed []micros.Time
		now       micros.Time
		valid     bool
		since     micros.Time
	}{
		{"never confirmed", nil, 0, false, micros.Max},
		{"confirmed just now", []micros.Time{5 * micros.Second}, 5 * micros.Second, true, 0},
		{"confirmed at time zero", []micros.Time{0}, micros.Second, true, micros.Second},
		{"just before its end", []micros.Time{0}, length - 1, true, length - 1},
		{"ended", []micros.Time{0}, length, false, length},
		{"extended", []micros.Time{0, micros.Second}, length, true, length - micros.Second},
		{"a delayed older confirmation is ignored",
			[]micros.Time{3 * micros.Second, micros.Second}, 12 * micros.Second, true, 9 * micros.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			term := Term{Length: length}
			for _, sent := range test.confirmed {
				term.Confirm(sent)
			}
			if got := term.Valid(test.now); got != test.valid {
				t.Errorf("Valid(%d) = %v, want %v", test.now, got, test.valid)
			}
			if got := term.SinceConfirmed(test.now); got != test.since {
				t.Errorf("SinceConfirmed(%d) = %d, want %d", test.now, got, test.since)
			}
		})
	}
}

func TestTermConfirmedSinceNeedsARequestSentLater(t *testing.T) {
	term := Term{Length: micros.Second}
	if term.ConfirmedSince(-1) {
		t.Error("confirmed although no request was sent")
	}
	term.Confirm(100)
	for _, test := range []struct {
		name string
		at   micros.Time
		want bool
	}{
		{"request sent after it", 99, true},
		{"request sent at the same time", 100, false},
		{"request sent before it", 101, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := term.ConfirmedSince(test.at); got != test.want {
				t.Errorf("ConfirmedSince(%d) = %v, want %v", test.at, got, test.want)
			}
		})
	}
}

func TestTermInvalidateDiscardsAllConfirmations(t *testing.T) {
	term := Term{Length: micros.Second}
	term.Confirm(100)
	term.Invalidate()
	if term.Valid(100) || term.ConfirmedSince(0) || term.SinceConfirmed(100) != micros.Max {
		t.Errorf("the term is still confirmed after Invalidate: %+v", term)
	}
	term.Confirm(50) // older than the discarded one, but the first since Invalidate
	if !term.Valid(100) || term.SinceConfirmed(100) != 50 {
		t.Errorf("the term is not valid after a new confirmation: %+v", term)
	}
}
