package scenario

import (
	"encoding/json"
	"net/url"
	"sort"
	"strconv"
	"strings"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
	"pipitlatch/internal/storage"
)

type storedRecord struct {
	value       json.RawMessage
	modRevision uint64
	leaseID     uint64
}

type storeChange struct {
	modRevision uint64
	key         string
	value       json.RawMessage
	delete      bool
}

// keyValueStore is a stand-in of the key-value store.
type keyValueStore struct {
	sim          *simulation
	keys         map[string]storedRecord
	revision     uint64
	changes      []storeChange
	historyLimit int // changes that are kept
	leases       leaseTable
	watches      []*pendingWatch
	faults       storeFaultState
	limits       storeLimitState
	tooLarge     int // requests refused for their size
	// repeatsApplied counts the transactions that took effect a second time, by the kinds of their writes.
	repeatsApplied map[string]int
	largest        map[string]writeSize // of the transactions carried out, by kind
	loaded         *storage.Cache       // of records that an earlier deployment left
}

// leaseTable has the leases by their ids.
type leaseTable struct {
	expiry map[uint64]micros.Time
	ttl    map[uint64]micros.Time
	lastID uint64
}

// storeFaultState are the faults that the store has now.
type storeFaultState struct {
	down            bool
	refusedMembers  map[string]bool
	delay           micros.Time
	lostReplyShare  float64                // of transactions: executed, but not answered
	lateCommitShare float64                // of transactions: executed late, and not answered
	repeatedShare   float64                // of transactions: executed again after they were answered
	repeatDelay     micros.Time            // up to this much later
	delayedKeys     map[string]micros.Time // transactions that set one are executed so much later, and not answered
}

// storeLimitState are the limits that the store enforces.
type storeLimitState struct {
	maxOperations int
	maxValueBytes int
	writeRPS      float64 // 0: the pace is not enforced
	writeTokens   float64
	writeTokensAt micros.Time
}

// newKeyValueStore makes an empty store with limits on a transaction's operations and its values.
func newKeyValueStore(sim *simulation, maxOperations, maxValueBytes int) *keyValueStore {
	s := &keyValueStore{
		sim: sim, keys: map[string]storedRecord{}, historyLimit: 10_000, largest: map[string]writeSize{},
		repeatsApplied: map[string]int{},
		leases:         leaseTable{expiry: map[uint64]micros.Time{}, ttl: map[uint64]micros.Time{}},
		faults:         storeFaultState{refusedMembers: map[string]bool{}, delayedKeys: map[string]micros.Time{}},
		limits:         storeLimitState{maxOperations: maxOperations, maxValueBytes: maxValueBytes},
	}
	s.expireLeases()
	return s
}

func (s *keyValueStore) refuses(from string) bool {
	return s.faults.down || s.faults.refusedMembers[from]
}

// outage begins or ends an outage for all. After one, leases have their full
// time again.
func (s *keyValueStore) outage(down bool) {
	s.faults.down = down
	if !down {
		for id := range s.leases.expiry {
			s.leases.expiry[id] = s.sim.now + s.leases.ttl[id]
		}
		s.answerWatches()
	}
}

func (s *keyValueStore) handle(from string, r protocol.HTTPRequest, reply replyFunc) {
	delay := 1*micros.Millisecond + s.sim.random.Int64N(3*micros.Millisecond) + s.faults.delay
	s.sim.after(delay, func() {
		if s.refuses(from) {
			reply(503, []byte(`{"error":"unavailable"}`))
			return
		}
		s.serve(from, r, reply)
	})
}

func (s *keyValueStore) serve(from string, r protocol.HTTPRequest, reply replyFunc) {
	u, err := url.Parse(r.Path)
	if err != nil {
		reply(400, nil)
		return
	}
	q := u.Query()
	switch {
	case r.Method == "GET" && u.Path == "/store":
		s.listRecords(q, reply)
	case r.Method == "GET" && strings.HasPrefix(u.Path, "/store/"):
		key := strings.TrimPrefix(u.Path, "/store/")
		if v, ok := s.keys[key]; ok {
			reply(200, encode(map[string]any{"key": key, "v": v.value, "stamp": v.modRevision, "permit": v.leaseID}))
		} else {
			reply(404, encode(map[string]any{"ledger": s.revision}))
		}
	case r.Method == "GET" && u.Path == "/changes":
		s.watch(from, q, reply)
	case r.Method == "POST" && u.Path == "/grants":
		s.grantLease(r.Body, reply)
	case r.Method == "POST" && strings.HasSuffix(u.Path, "/touch"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(u.Path, "/grants/"), "/touch"), 10, 64)
		if _, ok := s.leases.expiry[id]; !ok {
			reply(404, []byte(`{}`))
			return
		}
		s.leases.expiry[id] = s.sim.now + s.leases.ttl[id]
		reply(200, encode(map[string]any{"permit": id}))
	case r.Method == "POST" && u.Path == "/commit":
		s.transact(r.Body, reply)
	default:
		reply(404, nil)
	}
}

func (s *keyValueStore) listRecords(q url.Values, reply replyFunc) {
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page, _ := strconv.Atoi(q.Get("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	more := len(keys) > page
	keys = keys[:min(page, len(keys))]
	rows := []map[string]any{}
	for _, k := range keys {
		rows = append(rows, map[string]any{"key": k, "v": s.keys[k].value, "stamp": s.keys[k].modRevision})
	}
	reply(200, encode(map[string]any{"rows": rows, "has_next": more, "ledger": s.revision}))
}

// write sets a key, whatever its record should look like.
func (s *keyValueStore) write(key, value string) {
	s.revision++
	s.keys[key] = storedRecord{value: json.RawMessage(value), modRevision: s.revision}
	s.changes = append(s.changes, storeChange{modRevision: s.revision, key: key, value: json.RawMessage(value)})
	s.answerWatches()
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
