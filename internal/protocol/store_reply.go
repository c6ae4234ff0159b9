package protocol

import (
	"encoding/json"
	"fmt"
	"net/http"

	"pipitlatch/internal/storage"
)

// storeReply has the fields of the key-value store's replies to all kinds of request.
type storeReply struct {
	Key    string          `json:"key"`
	V      json.RawMessage `json:"v"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit"`
	Ledger uint64          `json:"ledger"`
	Rows   []struct {
		Key   string          `json:"key"`
		V     json.RawMessage `json:"v"`
		Stamp uint64          `json:"stamp"`
	} `json:"rows"`
	HasNext bool `json:"has_next"`
	Log     []struct {
		Set    string          `json:"set"`
		V      json.RawMessage `json:"v"`
		Delete string          `json:"delete"`
		Stamp  uint64          `json:"stamp"`
	} `json:"log"`
}

// DecodeStoreReply decodes the key-value store's reply. A reply that can't be decoded has an unknown
// outcome.
func DecodeStoreReply(kind storage.RequestKind, status int, body []byte) (*storage.Reply, error) {
	outcome, err := storeOutcome(kind, status, body)
	reply := &storage.Reply{Outcome: outcome}
	if outcome != storage.OK && outcome != storage.NotFound && outcome != storage.Conflict {
		return reply, err // the body contains no data for other outcomes
	}
	var b storeReply
	if len(body) > 0 {
		if err := json.Unmarshal(body, &b); err != nil {
			reply.Outcome = storage.OutcomeUnknown
			return reply, malformedJSON("state", err)
		}
	}
	reply.Revision, reply.Lease, reply.More = b.Ledger, b.Permit, b.HasNext
	switch kind {
	case storage.Get:
		if status == http.StatusOK {
			reply.Items = []storage.Item{{Key: b.Key, Value: b.V, ModRevision: b.Stamp}}
		}
	case storage.List:
		reply.Items = b.rows()
	case storage.Watch:
		reply.Items = b.changes()
		if reply.Revision == 0 {
			reply.Outcome = storage.OutcomeUnknown
			return reply, malformed("ledger", "state: changes without a revision")
		}
	case storage.Txn, storage.LeaseGrant, storage.LeaseKeepAlive: // their replies contain no items
	}
	return reply, nil
}

// storeOutcome maps an HTTP status to an outcome.
func storeOutcome(kind storage.RequestKind, status int, body []byte) (storage.Outcome, error) {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return storage.OK, nil
	case http.StatusNotFound:
		return storage.NotFound, nil
	case http.StatusConflict:
		return storage.Conflict, nil
	case http.StatusGone:
		return storage.Compacted, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return storage.Unavailable, nil
	case http.StatusBadRequest:
		usesLease := kind == storage.Txn || kind == storage.LeaseKeepAlive
		if usesLease && bodyHasError(body, errorNoSuchLease) {
			return storage.LeaseNotFound, nil
		}
		return storage.Invalid, fmt.Errorf("state: rejected as malformed or too large: %.200s", body)
	}
	return storage.OutcomeUnknown, fmt.Errorf("state: status %d", status)
}

// rows returns the items in the reply to a List.
func (b *storeReply) rows() []storage.Item {
	var items []storage.Item
	for _, r := range b.Rows {
		items = append(items, storage.Item{Key: r.Key, Value: r.V, ModRevision: r.Stamp})
	}
	return items
}

// changes returns the items in the reply to a Watch.
func (b *storeReply) changes() []storage.Item {
	var items []storage.Item
	for _, e := range b.Log {
		item := storage.Item{Key: e.Set, Value: e.V, ModRevision: e.Stamp}
		if e.Delete != "" {
			item = storage.Item{Key: e.Delete, ModRevision: e.Stamp, Deleted: true}
		}
		items = append(items, item)
	}
	return items
}
