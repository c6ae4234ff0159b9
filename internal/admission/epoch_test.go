package admission

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pipitlatch/internal/micros"
)

func encode(t testing.TB, e *Epoch) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func epochOf(number uint64, windows map[string]Window, rest Window) *Epoch {
	return &Epoch{
		Number:   number,
		Leader:   5,
		Written:  100 * micros.Second,
		Length:   4 * micros.Second,
		Validity: 12 * micros.Second,
		Windows:  windows,
		Rest:     rest,
	}
}

// TestWindowsCoverTheRing checks that successive windows of any widths admit every job within the
// number of epochs that windows of the narrowest width need to cover the whole ring.
func TestWindowsCoverTheRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least := rapid.Uint32Range(Points/40, Points).Draw(t, "least")
		w := Window{Start: rapid.Uint32Range(0, Points-1).Draw(t, "start"), Width: least}
		ref := fmt.Sprintf("wk-%06d", rapid.IntRange(0, 999_999).Draw(t, "ref"))
		most := int(Points/least) + 1
		for range most {
			if !w.valid() {
				t.Fatalf("invalid window %+v", w)
			}
			if w.admits(position(ref)) {
				return
			}
			w = w.next(rapid.Uint32Range(least, Points).Draw(t, "width"))
		}
		t.Fatalf("job %s not admitted within %d epochs", ref, most)
	})
}

// TestRetryDelayIsExact checks that the retry delay of a refused job is right while the widths stay the same.
func TestRetryDelayIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Flow{"alpha", "short"}
		w := Window{
			Start: rapid.Uint32Range(0, Points-1).Draw(t, "start"),
			Width: rapid.Uint32Range(Points/20, Points/2).Draw(t, "width"),
		}
		w.Before = min(w.Width, Points-w.Width)
		ref := fmt.Sprintf("wk-%06d", rapid.IntRange(0, 999_999).Draw(t, "ref"))
		e := epochOf(1, map[string]Window{f.Key(): w}, w)
		if e.Admits(f, ref) {
			return
		}
		delay := e.RetryDelay(f, ref)
		for n := micros.Time(1); ; n++ {
			w = w.next(w.Width)
			if epochOf(1, map[string]Window{f.Key(): w}, w).Admits(f, ref) {
				if delay < n*e.Length || delay > (n+1)*e.Length {
					t.Fatalf("admitted after %d epochs, but the retry delay was %d us", n, delay)
				}
				return
			}
			if n > 30 {
				t.Fatal("not admitted within 30 epochs")
			}
		}
	})
}
