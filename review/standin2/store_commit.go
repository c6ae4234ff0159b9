package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type storeWrite struct {
	Set    string          `json:"set"`
	V      json.RawMessage `json:"v"`
	Lease  uint64          `json:"permit"`
	Delete string          `json:"delete"`
}

type storeCondition struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

type storeTransaction struct {
	If     []storeCondition `json:"if"`
	Writes []storeWrite     `json:"writes"`
}

// malformed returns why the store rejects a transaction with 400, or "".
func (s *store) malformed(t *storeTransaction) string {
	if len(t.Writes) > s.limits.txnOps || len(t.If) > 4*s.limits.txnOps {
		return "too many operations"
	}
	for _, w := range t.Writes {
		if key := w.Set + w.Delete; key == "" || len(key) > 200 || strings.Contains(key, " ") {
			return "malformed key"
		}
		if float64(len(w.V)) > s.limits.valueKB*1024 {
			return "value too large"
		}
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return "no such lease"
		}
	}
	return ""
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t storeTransaction
	if !readJSON(w, r, &t) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.malformed(&t); reason != "" {
		s.rec.note("store commit refused: %s", reason)
		replyError(w, http.StatusBadRequest, reason)
		return
	}
	if !s.writes.take(float64(len(t.Writes))) {
		replyError(w, http.StatusTooManyRequests, "too many changes")
		return
	}
	failed := []string{}
	for _, c := range t.If {
		if s.keys[c.Key].stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, map[string]any{"failed": failed, "ledger": s.revision})
		return
	}
	if len(t.Writes) > 0 {
		s.apply(t.Writes)
	}
	reply(w, http.StatusOK, map[string]any{"ledger": s.revision})
}

// apply carries out the writes of a transaction in their order, all at one revision.
func (s *store) apply(writes []storeWrite) {
	s.revision++
	for _, w := range writes {
		if w.Delete != "" {
			if _, ok := s.keys[w.Delete]; !ok {
				continue
			}
			delete(s.keys, w.Delete)
			s.log = append(s.log, storeChange{Delete: w.Delete, Stamp: s.revision})
			s.rec.note("store %d delete %s", s.revision, w.Delete)
			continue
		}
		s.keys[w.Set] = storedValue{value: w.V, stamp: s.revision, leaseID: w.Lease}
		s.log = append(s.log, storeChange{Set: w.Set, V: w.V, Stamp: s.revision})
		s.rec.note("store %d set %s %.120s", s.revision, w.Set, w.V)
	}
	s.announce()
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	deadline := time.NewTimer(time.Duration(min(block, 60_000)) * time.Millisecond)
	defer deadline.Stop()
	for over := false; ; {
		s.mu.Lock()
		changes, gone := s.changesAfter(q.Get("under"), after)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if gone {
			replyError(w, http.StatusGone, "too old")
			return
		}
		if len(changes) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"ledger": revision, "log": changes})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes below a prefix after a revision; gone if they are not kept any more.
func (s *store) changesAfter(prefix string, after uint64) (changes []storeChange, gone bool) {
	if len(s.log) == keptChanges && s.log[0].Stamp > after+1 {
		return nil, true
	}
	changes = []storeChange{}
	for i := len(s.log) - 1; i >= 0 && s.log[i].Stamp > after; i-- {
		if strings.HasPrefix(s.log[i].key(), prefix) {
			changes = append(changes, s.log[i])
		}
	}
	for i, j := 0, len(changes)-1; i < j; i, j = i+1, j-1 {
		changes[i], changes[j] = changes[j], changes[i]
	}
	return changes, false
}
