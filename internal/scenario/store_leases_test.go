package scenario

import (
	"encoding/json"
	"sort"

	"pipitlatch/internal/micros"
)

func (s *keyValueStore) grantLease(body []byte, reply replyFunc) {
	var g struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &g) != nil || g.TTL < 100 || g.TTL > 600_000 {
		reply(400, nil)
		return
	}
	s.leases.lastID++
	s.leases.ttl[s.leases.lastID] = g.TTL * micros.Millisecond
	s.leases.expiry[s.leases.lastID] = s.sim.now + s.leases.ttl[s.leases.lastID]
	reply(200, encode(map[string]any{"permit": s.leases.lastID}))
}

// expireLeases revokes the leases that nobody kept alive.
func (s *keyValueStore) expireLeases() {
	if !s.faults.down {
		for _, id := range sortedIDs(s.leases.expiry) {
			if s.sim.now > s.leases.expiry[id] {
				s.revokeLease(id)
			}
		}
	}
	s.sim.after(50*micros.Millisecond, s.expireLeases)
}

func (s *keyValueStore) revokeLease(id uint64) {
	delete(s.leases.expiry, id)
	var gone []string
	for k, v := range s.keys {
		if v.leaseID == id {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	if len(gone) == 0 {
		return
	}
	s.revision++
	for _, k := range gone {
		delete(s.keys, k)
		s.changes = append(s.changes, storeChange{modRevision: s.revision, key: k, delete: true})
	}
	s.answerWatches()
}

func sortedIDs[V any](m map[uint64]V) []uint64 {
	out := make([]uint64, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
