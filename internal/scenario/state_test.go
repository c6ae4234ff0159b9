package scenario

import (
	"encoding/json"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
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

type pendingWatch struct {
	member        string
	prefix        string
	afterRevision uint64
	reply         func(int, []byte)
	answered      bool
}

// keyValueStore is a stand-in of the state service.
type keyValueStore struct {
	w            *World
	keys         map[string]storedRecord
	revision     uint64
	changes      []storeChange
	historyLimit int
	leaseExpiry  map[uint64]micros.Time // ends
	leaseTTL     map[uint64]micros.Time
	lastLeaseID  uint64
	watches      []*pendingWatch

	down            bool
	refusedMembers  map[string]bool
	delay           micros.Time
	lostReplyShare  float64 // of transactions: executed, but not answered
	lateCommitShare float64 // of transactions: executed late, and not answered
	maxOperations   int
	maxValueBytes   int
	writeRPS        float64 // 0: the pace is not enforced
	writeTokens     float64
	writeTokensAt   micros.Time
	tooLarge        int                    // requests refused for their size
	delayedKeys     map[string]micros.Time // transactions that set a key: carried out so much later, and not answered
	largest         map[string]writeSize   // of the transactions carried out, by kind
	loaded          *storage.Cache         // of records that an earlier deployment left
}

func newKeyValueStore(w *World) *keyValueStore {
	store := &keyValueStore{w: w, keys: map[string]storedRecord{}, historyLimit: 10_000, leaseExpiry: map[uint64]micros.Time{}, leaseTTL: map[uint64]micros.Time{},
		refusedMembers: map[string]bool{}, delayedKeys: map[string]micros.Time{}, largest: map[string]writeSize{}, maxOperations: w.config.Settings.State.TxnOps, maxValueBytes: int(w.config.Settings.State.ValueKB * 1024)}
	store.expireLeases()
	return store
}

// expireLeases revokes the leases that nobody kept alive.
func (s *keyValueStore) expireLeases() {
	if !s.down {
		for _, id := range sortedIDs(s.leaseExpiry) {
			if s.w.now > s.leaseExpiry[id] {
				s.revokeLease(id)
			}
		}
	}
	s.w.after(50*micros.Millisecond, s.expireLeases)
}

func sortedIDs[V any](m map[uint64]V) []uint64 {
	out := make([]uint64, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (s *keyValueStore) revokeLease(id uint64) {
	delete(s.leaseExpiry, id)
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

// outage begins or ends an outage for all. After one, leases have their full
// time again.
func (s *keyValueStore) outage(down bool) {
	s.down = down
	if !down {
		for id := range s.leaseExpiry {
			s.leaseExpiry[id] = s.w.now + s.leaseTTL[id]
		}
		s.answerWatches()
	}
}

func (s *keyValueStore) refuses(from string) bool { return s.down || s.refusedMembers[from] }

func (s *keyValueStore) answerWatches() {
	if len(s.changes) > 2*s.historyLimit {
		s.changes = append([]storeChange(nil), s.changes[len(s.changes)-s.historyLimit:]...)
	}
	var rest []*pendingWatch
	for _, x := range s.watches {
		if x.answered {
			continue
		}
		if s.refuses(x.member) || !s.answerWatch(x, false) {
			rest = append(rest, x)
		}
	}
	s.watches = rest
}

func (s *keyValueStore) answerWatch(x *pendingWatch, timeUp bool) bool {
	type change struct {
		Set         string          `json:"set,omitempty"`
		Value       json.RawMessage `json:"v,omitempty"`
		Delete      string          `json:"delete,omitempty"`
		ModRevision uint64          `json:"stamp"`
	}
	changes := []change{}
	for _, e := range s.changes {
		if e.modRevision > x.afterRevision && strings.HasPrefix(e.key, x.prefix) {
			if e.delete {
				changes = append(changes, change{Delete: e.key, ModRevision: e.modRevision})
			} else {
				changes = append(changes, change{Set: e.key, Value: e.value, ModRevision: e.modRevision})
			}
		}
	}
	if len(changes) == 0 && !timeUp {
		return false
	}
	x.answered = true
	x.reply(200, encode(map[string]any{"ledger": s.revision, "log": changes}))
	return true
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (s *keyValueStore) handle(from string, r protocol.HTTPRequest, reply func(int, []byte)) {
	delay := 1*micros.Millisecond + s.w.random.Int64N(3*micros.Millisecond) + s.delay
	s.w.after(delay, func() {
		if s.refuses(from) {
			reply(503, []byte(`{"error":"unavailable"}`))
			return
		}
		s.serve(from, r, reply)
	})
}

func (s *keyValueStore) serve(from string, r protocol.HTTPRequest, reply func(int, []byte)) {
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
		if _, ok := s.leaseExpiry[id]; !ok {
			reply(404, []byte(`{}`))
			return
		}
		s.leaseExpiry[id] = s.w.now + s.leaseTTL[id]
		reply(200, encode(map[string]any{"permit": id}))
	case r.Method == "POST" && u.Path == "/commit":
		s.transact(r.Body, reply)
	default:
		reply(404, nil)
	}
}

func (s *keyValueStore) watch(from string, q url.Values, reply func(int, []byte)) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.ParseInt(q.Get("block_ms"), 10, 64)
	if len(s.changes) > s.historyLimit {
		s.changes = append([]storeChange(nil), s.changes[len(s.changes)-s.historyLimit:]...)
	}
	if len(s.changes) == s.historyLimit && s.changes[0].modRevision > after+1 {
		reply(410, nil)
		return
	}
	x := &pendingWatch{member: from, prefix: q.Get("under"), afterRevision: after, reply: reply}
	if s.answerWatch(x, block == 0) {
		return
	}
	s.watches = append(s.watches, x)
	var timeUp func()
	timeUp = func() {
		if x.answered {
			return
		}
		if s.refuses(from) {
			s.w.after(100*micros.Millisecond, timeUp) // stays open
			return
		}
		s.answerWatch(x, true)
	}
	s.w.after(block*micros.Millisecond, timeUp)
}

func (s *keyValueStore) grantLease(body []byte, reply func(int, []byte)) {
	var g struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &g) != nil || g.TTL < 100 || g.TTL > 600_000 {
		reply(400, nil)
		return
	}
	s.lastLeaseID++
	s.leaseTTL[s.lastLeaseID] = g.TTL * micros.Millisecond
	s.leaseExpiry[s.lastLeaseID] = s.w.now + s.leaseTTL[s.lastLeaseID]
	reply(200, encode(map[string]any{"permit": s.lastLeaseID}))
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

func (s *keyValueStore) listRecords(q url.Values, reply func(int, []byte)) {
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

// write sets a key, whatever its record should look like.
func (s *keyValueStore) write(key, value string) {
	s.revision++
	s.keys[key] = storedRecord{value: json.RawMessage(value), modRevision: s.revision}
	s.changes = append(s.changes, storeChange{modRevision: s.revision, key: key, value: json.RawMessage(value)})
	s.answerWatches()
}

// recordedDeployment is what an earlier deployment left in the store, and said to its peers.
type recordedDeployment struct {
	Revision uint64 `json:"ledger"`
	Rows     []struct {
		Key         string          `json:"key"`
		Value       json.RawMessage `json:"v"`
		ModRevision uint64          `json:"stamp"`
	} `json:"rows"`
	Status [][]byte `json:"status"`
}

func readRecordedDeployment(file string) (*recordedDeployment, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var d recordedDeployment
	return &d, json.Unmarshal(raw, &d)
}

// load puts records in place that an earlier deployment left, whose processes and
// machines are gone.
func (s *keyValueStore) load(file string) {
	d, err := readRecordedDeployment(file)
	if err != nil {
		s.w.breakRule("bench", "%v", err)
		return
	}
	s.loaded = storage.NewCache(storage.Keys{Prefix: "pl/"})
	s.lastLeaseID++
	s.leaseExpiry[s.lastLeaseID] = s.w.now + micros.Second // of the processes that were registered
	for _, r := range d.Rows {
		leaseID := uint64(0)
		if strings.HasPrefix(r.Key, "pl/node/") || r.Key == "pl/leader" {
			leaseID = s.lastLeaseID
		}
		s.keys[r.Key] = storedRecord{r.Value, r.ModRevision, leaseID}
		key := strings.Replace(r.Key, "pl/~over/", "pl/job/", 1)
		if _, _, err := s.loaded.Apply(storage.Item{Key: key, Value: r.Value, ModRevision: r.ModRevision}); err != nil {
			s.w.breakRule("bench", "%v", err)
		}
	}
	s.revision = d.Revision
	s.w.cloud.lastMachineNumber = 900 // names are never used twice
}

// restoreCompletion gives a job's user what was done before the records were left.
func (s *keyValueStore) restoreCompletion(j *userJob) {
	if s.loaded == nil || s.loaded.Jobs[j.ref] == nil {
		return
	}
	e := s.loaded.Jobs[j.ref]
	j.cancelRequested = e.Job.Phase == workload.Cancelled
	for t := range j.taskCount {
		if e.Job.Phase == workload.Done || (e.Completed != nil && e.Completed.Has(t)) {
			j.done[t] = true
		}
	}
}
