package txnbackoff

import (
	"fmt"
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

func put(key string) *storage.Request {
	return &storage.Request{Kind: storage.Txn, Puts: []storage.Put{{Key: key}, {Key: "second"}}}
}

func requireBlocked(t *testing.T, b *Backoff, r *storage.Request, now micros.Time, want bool) {
	t.Helper()
	if got := b.Blocked(r, now); got != want {
		t.Fatalf("at %d µs: blocked %v, want %v", now, got, want)
	}
}

func TestDelayDoublesUpToItsMaximum(t *testing.T) {
	b, r := New(), put("job/a")
	now := 100 * micros.Second
	for i, seconds := range []micros.Time{1, 2, 4, 8, 16, 30, 30} {
		b.Observe(r, storage.Invalid, now)
		end := now + seconds*micros.Second
		t.Logf("rejection %d", i+1)
		requireBlocked(t, b, r, end-1, true)
		requireBlocked(t, b, r, end, false)
		now = end
	}
}

func TestOutcomesThatBlockOrRelease(t *testing.T) {
	for name, test := range map[string]struct {
		outcome storage.Outcome
		blocked bool
		next    micros.Time // delay after one more rejection
	}{
		"applied ends the backoff":                          {storage.OK, false, 1 * micros.Second},
		"failed compares leave the backoff unchanged":       {storage.Conflict, true, 2 * micros.Second},
		"an unknown outcome leaves the backoff unchanged":   {storage.OutcomeUnknown, true, 2 * micros.Second},
		"an unavailable store leaves the backoff unchanged": {storage.Unavailable, true, 2 * micros.Second},
		"a lost lease leaves the backoff unchanged":         {storage.LeaseNotFound, true, 2 * micros.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b, r := New(), put("job/a")
			b.Observe(r, storage.Invalid, 0)
			b.Observe(r, test.outcome, 10)
			requireBlocked(t, b, r, 20, test.blocked)
			b.Observe(r, storage.Invalid, 30)
			requireBlocked(t, b, r, 30+test.next-1, true)
			requireBlocked(t, b, r, 30+test.next, false)
		})
	}
}

func TestOnlyTransactionsForTheRejectedKeyAreBlocked(t *testing.T) {
	for name, test := range map[string]struct {
		rejected, other *storage.Request
		blocked         bool
	}{
		"same first put": {
			rejected: put("job/a"),
			other:    &storage.Request{Kind: storage.Txn, Puts: []storage.Put{{Key: "job/a"}, {Key: "other"}}},
			blocked:  true,
		},
		"another first put": {rejected: put("job/a"), other: put("job/b")},
		"first delete, without puts": {
			rejected: &storage.Request{Kind: storage.Txn, Deletes: []string{"block/x", "block/y"}},
			other:    &storage.Request{Kind: storage.Txn, Deletes: []string{"block/x"}},
			blocked:  true,
		},
		"a put identifies the transaction rather than a delete": {
			rejected: &storage.Request{Kind: storage.Txn, Puts: put("job/a").Puts, Deletes: []string{"block/x"}},
			other:    &storage.Request{Kind: storage.Txn, Deletes: []string{"block/x"}},
		},
		"a read of the key": {
			rejected: put("job/a"),
			other:    &storage.Request{Kind: storage.Get, Key: "job/a", Puts: put("job/a").Puts},
		},
		"a rejected read blocks nothing": {
			rejected: &storage.Request{Kind: storage.List, Key: "job/a"},
			other:    put("job/a"),
		},
		"transactions without changes share no backoff": {
			rejected: &storage.Request{Kind: storage.Txn},
			other:    &storage.Request{Kind: storage.Txn},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := New()
			b.Observe(test.rejected, storage.Invalid, 0)
			requireBlocked(t, b, test.other, 1, test.blocked)
		})
	}
}

func TestNumberOfRecordedKeysIsBounded(t *testing.T) {
	b := New()
	for i := range 3 * maxKeys {
		b.Observe(put(fmt.Sprint("job/", i)), storage.Invalid, 0)
		if len(b.rejected) > maxKeys {
			t.Fatalf("%d keys recorded, want at most %d", len(b.rejected), maxKeys)
		}
	}
	requireBlocked(t, b, put(fmt.Sprint("job/", 3*maxKeys-1)), 1, true)
}
