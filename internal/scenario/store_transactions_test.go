package scenario

import (
	"encoding/json"
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
func (s *keyValueStore) transact(body []byte, reply func(int, []byte)) {
	if by := s.commitDelay(body); by > 0 {
		s.w.after(by, func() { s.commit(body) })
		return
	}
	switch x := s.w.random.Float64(); {
	case x < s.lostReplyShare:
		s.commit(body)
	case x < s.lostReplyShare+s.lateCommitShare:
		s.w.after(micros.Second+s.w.random.Int64N(20*micros.Second), func() {
			if !s.down {
				s.commit(body)
			}
		})
	default:
		reply(s.commit(body))
	}
}

// commitDelay is how much later a transaction is carried out, by the keys that it sets.
func (s *keyValueStore) commitDelay(body []byte) micros.Time {
	var t transaction
	if len(s.delayedKeys) == 0 || json.Unmarshal(body, &t) != nil {
		return 0
	}
	by := micros.Time(0)
	for _, x := range t.Writes {
		by = max(by, s.delayedKeys[x.Set])
	}
	return by
}

func (s *keyValueStore) commit(body []byte) (int, []byte) {
	var t transaction
	if json.Unmarshal(body, &t) != nil || len(t.Writes) > s.maxOperations || len(t.Compares) > 4*s.maxOperations || len(body) > 64<<10 {
		s.tooLarge++
		return 400, []byte(`{"error":"malformed"}`)
	}
	if s.writeRPS > 0 {
		s.writeTokens = min(s.writeRPS, s.writeTokens+s.writeRPS*micros.Seconds(s.w.now-s.writeTokensAt))
		s.writeTokensAt = s.w.now
		if s.writeTokens < float64(len(t.Writes)) {
			return 429, []byte(`{"error":"too many changes"}`)
		}
		s.writeTokens -= float64(len(t.Writes))
	}
	var failed []string
	for _, c := range t.Compares {
		if s.keys[c.Key].modRevision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 409, encode(map[string]any{"failed": failed, "ledger": s.revision})
	}
	for _, x := range t.Writes {
		if len(x.Value) > s.maxValueBytes {
			s.tooLarge++
			return 400, []byte(`{"error":"value too large"}`)
		}
		if x.Set != "" && x.Lease != 0 {
			if _, ok := s.leaseExpiry[x.Lease]; !ok {
				return 400, []byte(`{"error":"no such lease"}`)
			}
		}
	}
	if len(t.Writes) > 0 {
		s.revision++
		s.measure(&t, len(body))
	}
	for _, x := range t.Writes {
		if x.Delete != "" {
			if _, ok := s.keys[x.Delete]; ok {
				delete(s.keys, x.Delete)
				s.changes = append(s.changes, storeChange{modRevision: s.revision, key: x.Delete, delete: true})
			}
			continue
		}
		s.keys[x.Set] = storedRecord{x.Value, s.revision, x.Lease}
		s.changes = append(s.changes, storeChange{modRevision: s.revision, key: x.Set, value: x.Value})
	}
	s.answerWatches()
	return 200, encode(map[string]any{"ledger": s.revision})
}

// writeSize is how large a transaction is in everything that the service limits.
type writeSize struct{ operations, compares, value, body int }

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
		had := s.largest[kind]
		s.largest[kind] = writeSize{max(had.operations, size.operations), max(had.compares, size.compares),
			max(had.value, size.value), max(had.body, size.body)}
	}
}
