package scenario

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"pipitlatch/internal/micros"
)

// transaction is the body of a commit.
type transaction struct {
	Compares []struct {
		Key         string `json:"key"`
		ModRevision uint64 `json:"stamp"`
	} `json:"if"`
	Writes []struct {
		Set    string          `json:"set"`
		Value  json.RawMessage `json:"v"`
		Lease  uint64          `json:"permit"`
		Delete string          `json:"delete"`
	} `json:"writes"`
}

// transact commits: at once, or late, or without an answer.
func (s *keyValueStore) transact(body []byte, reply replyFunc) {
	if by := s.commitDelay(body); by > 0 {
		s.sim.after(by, func() { s.commit(body) })
		return
	}
	switch x := s.sim.random.Float64(); {
	case x < s.faults.lostReplyShare:
		s.commit(body)
	case x < s.faults.lostReplyShare+s.faults.lateCommitShare:
		s.sim.after(micros.Second+s.sim.random.Int64N(20*micros.Second), func() {
			if !s.faults.down {
				s.commit(body)
			}
		})
	default:
		reply(s.commit(body))
		s.repeatLater(body)
	}
}

// repeatLater carries a transaction that was answered out once more. Nobody waits for that answer.
func (s *keyValueStore) repeatLater(body []byte) {
	if s.faults.repeatedShare <= 0 || s.sim.random.Float64() >= s.faults.repeatedShare {
		return
	}
	s.sim.after(s.sim.random.Int64N(int64(s.faults.repeatDelay)), func() {
		if s.faults.down {
			return
		}
		if status, _ := s.commit(body); status == 200 {
			s.repeatsApplied[writeKindsOf(body)]++
		}
	})
}

// commitDelay is how much later a transaction is carried out, by the keys that it sets.
func (s *keyValueStore) commitDelay(body []byte) micros.Time {
	var t transaction
	if len(s.faults.delayedKeys) == 0 || json.Unmarshal(body, &t) != nil {
		return 0
	}
	by := micros.Time(0)
	for _, x := range t.Writes {
		by = max(by, s.faults.delayedKeys[x.Set])
	}
	return by
}

// maxBodyBytes is how large a transaction may be.
const maxBodyBytes = 64 << 10

// commit carries a transaction out, or answers why not.
func (s *keyValueStore) commit(body []byte) (int, []byte) {
	var t transaction
	most := s.limits.maxOperations
	if json.Unmarshal(body, &t) != nil || len(t.Writes) > most || len(t.Compares) > 4*most || len(body) > maxBodyBytes {
		s.tooLarge++
		return 400, []byte(`{"error":"malformed"}`)
	}
	if !s.limits.take(len(t.Writes), s.sim.now) {
		return 429, []byte(`{"error":"too many changes"}`)
	}
	if failed := s.failedCompares(&t); len(failed) > 0 {
		return 409, encode(map[string]any{"failed": failed, "ledger": s.revision})
	}
	if fault := s.faultOfWrites(&t); fault != "" {
		return 400, encode(map[string]any{"error": fault})
	}
	if len(t.Writes) > 0 {
		s.revision++
		s.measure(&t, len(body))
	}
	s.apply(&t)
	s.answerWatches()
	return 200, encode(map[string]any{"ledger": s.revision})
}

// take tells whether so many writes are within the pace now.
func (l *storeLimitState) take(writes int, now micros.Time) bool {
	if l.writeRPS <= 0 {
		return true
	}
	l.writeTokens = min(l.writeRPS, l.writeTokens+l.writeRPS*micros.Seconds(now-l.writeTokensAt))
	l.writeTokensAt = now
	if l.writeTokens < float64(writes) {
		return false
	}
	l.writeTokens -= float64(writes)
	return true
}

// failedCompares are the keys that have another mod revision than the transaction wants.
func (s *keyValueStore) failedCompares(t *transaction) []string {
	var failed []string
	for _, c := range t.Compares {
		if s.keys[c.Key].modRevision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	return failed
}

// faultOfWrites is why writes cannot be carried out, or nothing.
func (s *keyValueStore) faultOfWrites(t *transaction) string {
	for _, x := range t.Writes {
		if len(x.Value) > s.limits.maxValueBytes {
			s.tooLarge++
			return "value too large"
		}
		if x.Set != "" && x.Lease != 0 {
			if _, ok := s.leases.expiry[x.Lease]; !ok {
				return "no such lease"
			}
		}
	}
	return ""
}

// apply carries out the writes of a transaction.
func (s *keyValueStore) apply(t *transaction) {
	for _, x := range t.Writes {
		if x.Delete == "" {
			s.keys[x.Set] = storedRecord{x.Value, s.revision, x.Lease}
			s.changes = append(s.changes, storeChange{modRevision: s.revision, key: x.Set, value: x.Value})
			continue
		}
		if _, ok := s.keys[x.Delete]; ok {
			delete(s.keys, x.Delete)
			s.changes = append(s.changes, storeChange{modRevision: s.revision, key: x.Delete, delete: true})
		}
	}
}

// writeKindsOf names what a transaction sets and deletes, each kind once.
func writeKindsOf(body []byte) string {
	var t transaction
	if json.Unmarshal(body, &t) != nil {
		return "malformed"
	}
	kinds := map[string]bool{}
	for _, x := range t.Writes {
		if x.Delete != "" {
			kinds["delete "+recordKind(x.Delete)] = true
		} else {
			kinds["set "+recordKind(x.Set)] = true
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(kinds)), ", ")
}

// writeSize is how large a transaction is in everything that the service limits.
type writeSize struct{ operations, compares, value, body int }

// max is the larger of two sizes in every respect.
func (s writeSize) max(other writeSize) writeSize {
	return writeSize{
		operations: max(s.operations, other.operations), compares: max(s.compares, other.compares),
		value: max(s.value, other.value), body: max(s.body, other.body),
	}
}

// recordKind is the part of a key that says what its record is.
func recordKind(key string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, "pl/"), "/")
	return kind
}

// measure notes the size of a transaction under what it sets and deletes.
func (s *keyValueStore) measure(t *transaction, body int) {
	kinds := map[string]bool{}
	size := writeSize{operations: len(t.Writes), compares: len(t.Compares), body: body}
	for _, x := range t.Writes {
		if x.Delete != "" {
			kinds["delete "+recordKind(x.Delete)] = true
		} else {
			kinds["set "+recordKind(x.Set)] = true
		}
		size.value = max(size.value, len(x.Value))
	}
	for kind := range kinds {
		s.largest[kind] = s.largest[kind].max(size)
	}
}
