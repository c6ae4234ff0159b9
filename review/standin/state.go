package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxHistory is how many changes the state service keeps.
const maxHistory = 10_000

// maxBody is the size limit of a request body.
const maxBody = 64 << 10

// limits are the limits that the state service enforces.
type limits struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
}

type record struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type change struct {
	Set    string          `json:"set,omitempty"`
	V      json.RawMessage `json:"v,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Time
}

// take takes n tokens from a bucket that holds size tokens and gets rate tokens a second.
func (b *bucket) take(n, size, rate float64, now time.Time) bool {
	if b.at.IsZero() {
		b.level = size
	} else {
		b.level = min(size, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// stateService is a stand-in of the state service, as PROTOCOL-pipitlatch.md describes it.
type stateService struct {
	mu       sync.Mutex
	limits   limits
	ledger   uint64
	records  map[string]record
	log      []change
	leases   map[uint64]*lease
	lastID   uint64
	changed  chan struct{} // closed at every change
	requests bucket
	writes   bucket
	refused  map[string]int // answers other than 200 and 404, by what was asked
}

func newStateService(l limits) *stateService {
	s := &stateService{
		limits: l, records: map[string]record{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}), refused: map[string]int{},
	}
	go s.expireLeases()
	return s
}

func (s *stateService) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expiry) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, r := range s.records {
		if r.lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.ledger++
	for _, key := range keys {
		delete(s.records, key)
		s.log = append(s.log, change{Delete: key, Stamp: s.ledger})
	}
	s.notify()
}

func (s *stateService) notify() {
	if len(s.log) > maxHistory {
		s.log = append([]change(nil), s.log[len(s.log)-maxHistory:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	s.mu.Lock()
	allowed := s.requests.take(1, s.limits.rps, s.limits.rps, time.Now())
	if !allowed {
		s.refused["429 request"]++
	}
	s.mu.Unlock()
	if !allowed {
		answer(w, 429, map[string]any{"error": "too many requests"})
		return
	}
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/store":
		s.list(w, r)
	case r.Method == "GET" && strings.HasPrefix(path, "/store/"):
		s.get(w, strings.TrimPrefix(path, "/store/"))
	case r.Method == "GET" && path == "/changes":
		s.watch(w, r)
	case r.Method == "POST" && path == "/commit":
		s.commit(w, body)
	case r.Method == "POST" && path == "/grants":
		s.grant(w, body)
	case strings.HasPrefix(path, "/grants/"):
		s.touch(w, r.Method, strings.TrimPrefix(path, "/grants/"))
	default:
		answer(w, 400, map[string]any{"error": "malformed"})
	}
}

func (s *stateService) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	r, ok := s.records[key]
	ledger := s.ledger
	s.mu.Unlock()
	if !ok {
		answer(w, 404, map[string]any{"ledger": ledger})
		return
	}
	answer(w, 200, map[string]any{"key": key, "v": r.value, "stamp": r.stamp, "permit": r.lease})
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	under, after := r.URL.Query().Get("under"), r.URL.Query().Get("after")
	page, _ := strconv.Atoi(r.URL.Query().Get("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	s.mu.Lock()
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, under) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size := []map[string]any{}, 0
	for _, key := range keys {
		size += len(key) + len(s.records[key].value) + 40
		if len(rows) == page || size > 512<<10 {
			break
		}
		rows = append(rows, map[string]any{"key": key, "v": s.records[key].value, "stamp": s.records[key].stamp})
	}
	reply := map[string]any{"rows": rows, "has_next": len(rows) < len(keys), "ledger": s.ledger}
	s.mu.Unlock()
	answer(w, 200, reply)
}

func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	under := q.Get("under")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	timeUp := time.After(time.Duration(min(block, 60_000)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if len(s.log) == maxHistory && s.log[0].Stamp > after+1 {
			s.mu.Unlock()
			answer(w, 410, map[string]any{})
			return
		}
		found := []change{}
		for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > after }); i < len(s.log); i++ {
			if strings.HasPrefix(s.log[i].Set+s.log[i].Delete, under) {
				found = append(found, s.log[i])
			}
		}
		ledger, changed := s.ledger, s.changed
		s.mu.Unlock()
		if len(found) > 0 || over {
			answer(w, 200, map[string]any{"ledger": ledger, "log": found})
			return
		}
		select {
		case <-changed:
		case <-timeUp:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

type commitBody struct {
	If []struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Writes []struct {
		Set    string          `json:"set"`
		V      json.RawMessage `json:"v"`
		Lease  uint64          `json:"permit"`
		Delete string          `json:"delete"`
	} `json:"writes"`
}

func (s *stateService) commit(w http.ResponseWriter, body []byte) {
	var c commitBody
	bad := json.Unmarshal(body, &c) != nil
	s.mu.Lock()
	status, reply := s.apply(&c, bad)
	if status != 200 {
		s.refused[strconv.Itoa(status)+" commit"]++
	}
	s.mu.Unlock()
	answer(w, status, reply)
}

func (s *stateService) apply(c *commitBody, bad bool) (int, map[string]any) {
	if bad || len(c.Writes) > s.limits.txnOps || len(c.If) > 4*s.limits.txnOps {
		return 400, map[string]any{"error": "malformed"}
	}
	if !s.writes.take(float64(len(c.Writes)), s.limits.writeRPS, s.limits.writeRPS, time.Now()) {
		return 429, map[string]any{"error": "too many changes"}
	}
	for _, x := range c.Writes {
		if x.Set != "" && len(x.V) > s.limits.valueBytes {
			return 400, map[string]any{"error": "value too large"}
		}
		if _, ok := s.leases[x.Lease]; x.Set != "" && x.Lease != 0 && !ok {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, x := range c.If {
		if s.records[x.Key].stamp != x.Stamp {
			failed = append(failed, x.Key)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(c.Writes) > 0 {
		s.ledger++
	}
	for _, x := range c.Writes {
		if x.Set != "" {
			s.records[x.Set] = record{value: x.V, stamp: s.ledger, lease: x.Lease}
			s.log = append(s.log, change{Set: x.Set, V: x.V, Stamp: s.ledger})
		} else if _, ok := s.records[x.Delete]; ok {
			delete(s.records, x.Delete)
			s.log = append(s.log, change{Delete: x.Delete, Stamp: s.ledger})
		}
	}
	s.notify()
	return 200, map[string]any{"ledger": s.ledger}
}

func (s *stateService) grant(w http.ResponseWriter, body []byte) {
	var g struct {
		TTL int `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &g) != nil || g.TTL < 100 || g.TTL > 600_000 {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	s.mu.Lock()
	s.lastID++
	id, ttl := s.lastID, time.Duration(g.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, 200, map[string]any{"permit": id})
}

func (s *stateService) touch(w http.ResponseWriter, method, rest string) {
	name, verb, _ := strings.Cut(rest, "/")
	id, _ := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	switch {
	case !ok:
		answer(w, 404, map[string]any{})
	case method == "DELETE":
		s.endLease(id)
		answer(w, 200, map[string]any{})
	case verb == "touch":
		l.expiry = time.Now().Add(l.ttl)
		answer(w, 200, map[string]any{"permit": id})
	default:
		answer(w, 400, map[string]any{"error": "malformed"})
	}
}

// count returns how many records a prefix has, and the size of the largest value.
func (s *stateService) count(prefix string) (n, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.records {
		if strings.HasPrefix(key, prefix) {
			n, largest = n+1, max(largest, len(r.value))
		}
	}
	return n, largest
}

func answer(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
