package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keptChanges is the number of changes that the store keeps for watches.
const keptChanges = 10_000

// storeLimits are the limits of the key-value store, as in the settings.
type storeLimits struct {
	rps, writeRPS, valueKB float64
	txnOps                 int
}

type storedValue struct {
	value   json.RawMessage
	stamp   uint64
	leaseID uint64
}

type storeChange struct {
	Set    string          `json:"set,omitempty"`
	V      json.RawMessage `json:"v,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

func (c *storeChange) key() string { return c.Set + c.Delete }

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the stand-in of the key-value store.
type store struct {
	rec    *record
	limits storeLimits

	mu               sync.Mutex
	requests, writes *bucket
	keys             map[string]storedValue
	revision         uint64
	log              []storeChange
	changed          chan struct{} // closed at the next change
	leases           map[uint64]*storeLease
	lastLease        uint64
}

func newStore(rec *record, limits storeLimits) *store {
	s := &store{
		rec: rec, limits: limits, requests: newBucket(limits.rps, 1), writes: newBucket(limits.writeRPS, 1),
		keys: map[string]storedValue{}, revision: 1, changed: make(chan struct{}), leases: map[uint64]*storeLease{},
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store", s.limited(s.list))
	mux.HandleFunc("GET /store/{key...}", s.limited(s.get))
	mux.HandleFunc("POST /commit", s.limited(s.commit))
	mux.HandleFunc("POST /grants", s.limited(s.grant))
	mux.HandleFunc("POST /grants/{id}/touch", s.limited(s.touch))
	mux.HandleFunc("DELETE /grants/{id}", s.limited(s.revoke))
	mux.HandleFunc("GET /changes", s.limited(s.watch))
	return mux
}

func (s *store) limited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		ok := s.requests.take(1)
		s.mu.Unlock()
		if !ok {
			replyError(w, http.StatusTooManyRequests, "too many requests")
			return
		}
		next(w, r)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	v, ok := s.keys[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"ledger": revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": key, "v": v.value, "stamp": v.stamp, "permit": v.leaseID})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, q.Get("under")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	rows, size := []map[string]any{}, 0
	for _, key := range keys {
		size += len(key) + len(s.keys[key].value) + 40
		if len(rows) == page || size > 512<<10 {
			break
		}
		rows = append(rows, map[string]any{"key": key, "v": s.keys[key].value, "stamp": s.keys[key].stamp})
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows, "has_next": len(rows) < len(keys), "ledger": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	if body.TTL < 100 || body.TTL > 600_000 {
		replyError(w, http.StatusBadRequest, "ttl_ms")
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"permit": s.lastLease})
}

func (s *store) touch(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		replyError(w, http.StatusNotFound, "no such lease")
		return
	}
	lease.ends = time.Now().Add(lease.ttl)
	reply(w, http.StatusOK, map[string]any{"permit": id})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, lease := range s.leases {
		if time.Now().After(lease.ends) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys that are attached to it.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	for key, v := range s.keys {
		if v.leaseID == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	slices.Sort(attached)
	s.revision++
	for _, key := range attached {
		delete(s.keys, key)
		s.log = append(s.log, storeChange{Delete: key, Stamp: s.revision})
		s.rec.note("store lease %d ended, %s removed at %d", id, key, s.revision)
	}
	s.announce()
}

// announce wakes the watches up.
func (s *store) announce() {
	if len(s.log) > keptChanges {
		s.log = slices.Clone(s.log[len(s.log)-keptChanges:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
