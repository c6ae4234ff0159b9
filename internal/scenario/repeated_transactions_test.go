package scenario

import (
	"os"
	"testing"
)

// harmlessRepeats are the transactions that may take effect a second time, by the kinds of their writes;
// docs/design.md says why each is harmless.
var harmlessRepeats = map[string]bool{
	"set block":  true, // an instance request, or an adoption, whose block was deleted since
	"set wait":   true, // part of a list of dependencies that no record refers to
	"set format": true, // the same value
}

// TestTransactionsThatTakeEffectTwice plays deployments whose store carries transactions out again, and checks
// that only those take effect a second time that are known to be harmless.
func TestTransactionsThatTakeEffectTwice(t *testing.T) {
	text, err := os.ReadFile("testdata/repeated_transactions.txt")
	if err != nil {
		t.Fatal(err)
	}
	applied := map[string]int{}
	for name, text := range Cases(string(text)) {
		w := playWorld(t, text)
		for _, broken := range w.broken {
			t.Errorf("%s: rule broken: %s", name, broken)
		}
		for kinds, count := range w.store.repeatsApplied {
			applied[kinds] += count
		}
	}
	t.Logf("took effect twice: %v", applied)
	for kinds, count := range applied {
		if !harmlessRepeats[kinds] {
			t.Errorf("%s: took effect a second time, %d times", kinds, count)
		}
	}
	if len(applied) == 0 {
		t.Error("no transaction took effect a second time: the test shows nothing")
	}
}
