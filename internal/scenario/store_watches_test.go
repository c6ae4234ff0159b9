package scenario

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"

	"pipitlatch/internal/micros"
)

type pendingWatch struct {
	member        string
	prefix        string
	afterRevision uint64
	reply         replyFunc
	answered      bool
}

func (s *keyValueStore) watch(from string, q url.Values, reply replyFunc) {
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
			s.sim.after(100*micros.Millisecond, timeUp) // stays open
			return
		}
		s.answerWatch(x, true)
	}
	s.sim.after(block*micros.Millisecond, timeUp)
}

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
