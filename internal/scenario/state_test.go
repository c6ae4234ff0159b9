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

type stateKey struct {
	value  json.RawMessage
	stamp  uint64
	permit uint64
}

type stateEvent struct {
	stamp  uint64
	key    string
	value  json.RawMessage
	delete bool
}

type watcher struct {
	from  string
	under string
	after uint64
	reply func(int, []byte)
	done  bool
}

// stateService is a stand-in of the state service.
type stateService struct {
	w        *World
	keys     map[string]stateKey
	ledger   uint64
	log      []stateEvent
	keep     int
	permits  map[uint64]micros.Time // ends
	ttl      map[uint64]micros.Time
	next     uint64
	watchers []*watcher

	down      bool
	downFor   map[string]bool
	slow      micros.Time
	loseShare float64 // of transactions: executed, but not answered
	lateShare float64 // of transactions: executed late, and not answered
	txnOps    int
	valueMax  int
	writeRPS  float64 // 0: the pace is not enforced
	writeLeft float64
	writeAt   micros.Time
	tooLarge  int                    // requests refused for their size
	delayed   map[string]micros.Time // transactions that set a key: carried out so much later, and not answered
	largest   map[string]writeSize   // of the transactions carried out, by kind
	loaded    *storage.Cache         // of records that an earlier deployment left
}

func newState(w *World) *stateService {
	s := &stateService{w: w, keys: map[string]stateKey{}, keep: 10_000, permits: map[uint64]micros.Time{}, ttl: map[uint64]micros.Time{},
		downFor: map[string]bool{}, delayed: map[string]micros.Time{}, largest: map[string]writeSize{}, txnOps: w.conf.Settings.State.TxnOps, valueMax: int(w.conf.Settings.State.ValueKB * 1024)}
	s.sweep()
	return s
}

// sweep ends permits.
func (s *stateService) sweep() {
	if !s.down {
		for _, id := range sortedU64(s.permits) {
			if s.w.now > s.permits[id] {
				s.end(id)
			}
		}
	}
	s.w.after(50*micros.Millisecond, s.sweep)
}

func sortedU64[V any](m map[uint64]V) []uint64 {
	out := make([]uint64, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (s *stateService) end(id uint64) {
	delete(s.permits, id)
	var gone []string
	for k, v := range s.keys {
		if v.permit == id {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	if len(gone) == 0 {
		return
	}
	s.ledger++
	for _, k := range gone {
		delete(s.keys, k)
		s.log = append(s.log, stateEvent{stamp: s.ledger, key: k, delete: true})
	}
	s.wake()
}

// outage begins or ends an outage for all. After one, permits have their full
// time again.
func (s *stateService) outage(down bool) {
	s.down = down
	if !down {
		for id := range s.permits {
			s.permits[id] = s.w.now + s.ttl[id]
		}
		s.wake()
	}
}

func (s *stateService) refused(from string) bool { return s.down || s.downFor[from] }

func (s *stateService) wake() {
	if len(s.log) > 2*s.keep {
		s.log = append([]stateEvent(nil), s.log[len(s.log)-s.keep:]...)
	}
	var rest []*watcher
	for _, x := range s.watchers {
		if x.done {
			continue
		}
		if s.refused(x.from) || !s.answer(x, false) {
			rest = append(rest, x)
		}
	}
	s.watchers = rest
}

func (s *stateService) answer(x *watcher, timeUp bool) bool {
	type change struct {
		Set    string          `json:"set,omitempty"`
		V      json.RawMessage `json:"v,omitempty"`
		Delete string          `json:"delete,omitempty"`
		Stamp  uint64          `json:"stamp"`
	}
	changes := []change{}
	for _, e := range s.log {
		if e.stamp > x.after && strings.HasPrefix(e.key, x.under) {
			if e.delete {
				changes = append(changes, change{Delete: e.key, Stamp: e.stamp})
			} else {
				changes = append(changes, change{Set: e.key, V: e.value, Stamp: e.stamp})
			}
		}
	}
	if len(changes) == 0 && !timeUp {
		return false
	}
	x.done = true
	x.reply(200, encode(map[string]any{"ledger": s.ledger, "log": changes}))
	return true
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (s *stateService) handle(from string, r protocol.HTTPRequest, reply func(int, []byte)) {
	delay := 1*micros.Millisecond + s.w.rng.Int64N(3*micros.Millisecond) + s.slow
	s.w.after(delay, func() {
		if s.refused(from) {
			reply(503, []byte(`{"error":"unavailable"}`))
			return
		}
		s.serve(from, r, reply)
	})
}

func (s *stateService) serve(from string, r protocol.HTTPRequest, reply func(int, []byte)) {
	u, err := url.Parse(r.Path)
	if err != nil {
		reply(400, nil)
		return
	}
	q := u.Query()
	switch {
	case r.Method == "GET" && u.Path == "/store":
		s.list(q, reply)
	case r.Method == "GET" && strings.HasPrefix(u.Path, "/store/"):
		key := strings.TrimPrefix(u.Path, "/store/")
		if v, ok := s.keys[key]; ok {
			reply(200, encode(map[string]any{"key": key, "v": v.value, "stamp": v.stamp, "permit": v.permit}))
		} else {
			reply(404, encode(map[string]any{"ledger": s.ledger}))
		}
	case r.Method == "GET" && u.Path == "/changes":
		s.watch(from, q, reply)
	case r.Method == "POST" && u.Path == "/grants":
		s.grant(r.Body, reply)
	case r.Method == "POST" && strings.HasSuffix(u.Path, "/touch"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(u.Path, "/grants/"), "/touch"), 10, 64)
		if _, ok := s.permits[id]; !ok {
			reply(404, []byte(`{}`))
			return
		}
		s.permits[id] = s.w.now + s.ttl[id]
		reply(200, encode(map[string]any{"permit": id}))
	case r.Method == "POST" && u.Path == "/commit":
		s.transact(r.Body, reply)
	default:
		reply(404, nil)
	}
}

func (s *stateService) watch(from string, q url.Values, reply func(int, []byte)) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.ParseInt(q.Get("block_ms"), 10, 64)
	if len(s.log) > s.keep {
		s.log = append([]stateEvent(nil), s.log[len(s.log)-s.keep:]...)
	}
	if len(s.log) == s.keep && s.log[0].stamp > after+1 {
		reply(410, nil)
		return
	}
	x := &watcher{from: from, under: q.Get("under"), after: after, reply: reply}
	if s.answer(x, block == 0) {
		return
	}
	s.watchers = append(s.watchers, x)
	var timeUp func()
	timeUp = func() {
		if x.done {
			return
		}
		if s.refused(from) {
			s.w.after(100*micros.Millisecond, timeUp) // stays open
			return
		}
		s.answer(x, true)
	}
	s.w.after(block*micros.Millisecond, timeUp)
}

func (s *stateService) grant(body []byte, reply func(int, []byte)) {
	var g struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &g) != nil || g.TTL < 100 || g.TTL > 600_000 {
		reply(400, nil)
		return
	}
	s.next++
	s.ttl[s.next] = g.TTL * micros.Millisecond
	s.permits[s.next] = s.w.now + s.ttl[s.next]
	reply(200, encode(map[string]any{"permit": s.next}))
}

// transact commits: at once, or late, or without an answer.
func (s *stateService) transact(body []byte, reply func(int, []byte)) {
	if by := s.delayOf(body); by > 0 {
		s.w.after(by, func() { s.commit(body) })
		return
	}
	switch x := s.w.rng.Float64(); {
	case x < s.loseShare:
		s.commit(body)
	case x < s.loseShare+s.lateShare:
		s.w.after(micros.Second+s.w.rng.Int64N(20*micros.Second), func() {
			if !s.down {
				s.commit(body)
			}
		})
	default:
		reply(s.commit(body))
	}
}

func (s *stateService) list(q url.Values, reply func(int, []byte)) {
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
		rows = append(rows, map[string]any{"key": k, "v": s.keys[k].value, "stamp": s.keys[k].stamp})
	}
	reply(200, encode(map[string]any{"rows": rows, "has_next": more, "ledger": s.ledger}))
}

// transaction is the body of a commit.
type transaction struct {
	If []struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Writes []struct {
		Set    string          `json:"set"`
		V      json.RawMessage `json:"v"`
		Permit uint64          `json:"permit"`
		Delete string          `json:"delete"`
	} `json:"writes"`
}

// delayOf is how much later a transaction is carried out, by the keys that it sets.
func (s *stateService) delayOf(body []byte) micros.Time {
	var t transaction
	if len(s.delayed) == 0 || json.Unmarshal(body, &t) != nil {
		return 0
	}
	by := micros.Time(0)
	for _, x := range t.Writes {
		by = max(by, s.delayed[x.Set])
	}
	return by
}

// writeSize is how large a transaction is in everything that the service limits.
type writeSize struct{ operations, conditions, value, body int }

// keyKind is the part of a key that says what its record is.
func keyKind(key string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, "pl/"), "/")
	return kind
}

// measure notes the size of a transaction under what it sets and deletes.
func (s *stateService) measure(t *transaction, body int) {
	kinds := map[string]bool{}
	size := writeSize{operations: len(t.Writes), conditions: len(t.If), body: body}
	for _, x := range t.Writes {
		if x.Delete != "" {
			kinds["delete "+keyKind(x.Delete)] = true
		} else {
			kinds["set "+keyKind(x.Set)] = true
		}
		size.value = max(size.value, len(x.V))
	}
	for kind := range kinds {
		had := s.largest[kind]
		s.largest[kind] = writeSize{max(had.operations, size.operations), max(had.conditions, size.conditions),
			max(had.value, size.value), max(had.body, size.body)}
	}
}

func (s *stateService) commit(body []byte) (int, []byte) {
	var t transaction
	if json.Unmarshal(body, &t) != nil || len(t.Writes) > s.txnOps || len(t.If) > 4*s.txnOps || len(body) > 64<<10 {
		s.tooLarge++
		return 400, []byte(`{"error":"malformed"}`)
	}
	if s.writeRPS > 0 {
		s.writeLeft = min(s.writeRPS, s.writeLeft+s.writeRPS*micros.Seconds(s.w.now-s.writeAt))
		s.writeAt = s.w.now
		if s.writeLeft < float64(len(t.Writes)) {
			return 429, []byte(`{"error":"too many changes"}`)
		}
		s.writeLeft -= float64(len(t.Writes))
	}
	var failed []string
	for _, c := range t.If {
		if s.keys[c.Key].stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 409, encode(map[string]any{"failed": failed, "ledger": s.ledger})
	}
	for _, x := range t.Writes {
		if len(x.V) > s.valueMax {
			s.tooLarge++
			return 400, []byte(`{"error":"value too large"}`)
		}
		if x.Set != "" && x.Permit != 0 {
			if _, ok := s.permits[x.Permit]; !ok {
				return 400, []byte(`{"error":"no such lease"}`)
			}
		}
	}
	if len(t.Writes) > 0 {
		s.ledger++
		s.measure(&t, len(body))
	}
	for _, x := range t.Writes {
		if x.Delete != "" {
			if _, ok := s.keys[x.Delete]; ok {
				delete(s.keys, x.Delete)
				s.log = append(s.log, stateEvent{stamp: s.ledger, key: x.Delete, delete: true})
			}
			continue
		}
		s.keys[x.Set] = stateKey{x.V, s.ledger, x.Permit}
		s.log = append(s.log, stateEvent{stamp: s.ledger, key: x.Set, value: x.V})
	}
	s.wake()
	return 200, encode(map[string]any{"ledger": s.ledger})
}

// write sets a key, whatever its record should look like.
func (s *stateService) write(key, value string) {
	s.ledger++
	s.keys[key] = stateKey{value: json.RawMessage(value), stamp: s.ledger}
	s.log = append(s.log, stateEvent{stamp: s.ledger, key: key, value: json.RawMessage(value)})
	s.wake()
}

// left is what a deployment left in the state service, and said to its siblings.
type left struct {
	Ledger uint64 `json:"ledger"`
	Rows   []struct {
		Key   string          `json:"key"`
		V     json.RawMessage `json:"v"`
		Stamp uint64          `json:"stamp"`
	} `json:"rows"`
	Status [][]byte `json:"status"`
}

func readLeft(file string) (*left, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var d left
	return &d, json.Unmarshal(raw, &d)
}

// load puts records in place that an earlier deployment left, whose processes and
// machines are gone.
func (s *stateService) load(file string) {
	d, err := readLeft(file)
	if err != nil {
		s.w.breakRule("bench", "%v", err)
		return
	}
	s.loaded = storage.NewCache(storage.Keys{Prefix: "pl/"})
	s.next++
	s.permits[s.next] = s.w.now + micros.Second // of the processes that were registered
	for _, r := range d.Rows {
		permit := uint64(0)
		if strings.HasPrefix(r.Key, "pl/node/") || r.Key == "pl/leader" {
			permit = s.next
		}
		s.keys[r.Key] = stateKey{r.V, r.Stamp, permit}
		key := strings.Replace(r.Key, "pl/~over/", "pl/job/", 1)
		if _, _, err := s.loaded.Apply(storage.Item{Key: key, Value: r.V, ModRevision: r.Stamp}); err != nil {
			s.w.breakRule("bench", "%v", err)
		}
	}
	s.ledger = d.Ledger
	s.w.cloud.next = 900 // names are never used twice
}

// recall gives a job's user what was done before the records were left.
func (s *stateService) recall(j *userJob) {
	if s.loaded == nil || s.loaded.Jobs[j.ref] == nil {
		return
	}
	e := s.loaded.Jobs[j.ref]
	j.wantCancel = e.Job.Phase == workload.Cancelled
	for t := range j.shards {
		if e.Job.Phase == workload.Done || (e.Completed != nil && e.Completed.Has(t)) {
			j.done[t] = true
		}
	}
}
