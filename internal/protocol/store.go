package protocol

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

type condition struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

type write struct {
	Set    string          `json:"set,omitempty"`
	V      json.RawMessage `json:"v,omitempty"`
	Permit uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// EncodeStoreRequest writes a request to the state service.
func EncodeStoreRequest(r *storage.Request) HTTPRequest {
	switch r.Kind {
	case storage.Get:
		return HTTPRequest{"GET", "/store/" + r.Key, nil}
	case storage.List:
		q := url.Values{"under": {r.Key}, "page": {strconv.Itoa(r.Limit)}}
		if r.After != "" {
			q.Set("after", r.After)
		}
		return HTTPRequest{"GET", "/store?" + q.Encode(), nil}
	case storage.Watch:
		q := url.Values{"under": {r.Key}, "after": {strconv.FormatUint(r.Revision, 10)},
			"block_ms": {strconv.FormatInt(r.Wait/micros.Millisecond, 10)}}
		return HTTPRequest{"GET", "/changes?" + q.Encode(), nil}
	case storage.LeaseGrant:
		return HTTPRequest{"POST", "/grants", mustJSON(struct {
			TTL int64 `json:"ttl_ms"`
		}{r.TTL / micros.Millisecond})}
	case storage.LeaseKeepAlive:
		return HTTPRequest{"POST", "/grants/" + strconv.FormatUint(r.Lease, 10) + "/touch", []byte("{}")}
	}
	c := struct {
		If     []condition `json:"if"`
		Writes []write     `json:"writes"`
	}{[]condition{}, []write{}}
	for _, x := range r.Compares {
		c.If = append(c.If, condition{x.Key, x.ModRevision})
	}
	for _, p := range r.Puts {
		c.Writes = append(c.Writes, write{Set: p.Key, V: p.Value, Permit: p.Lease})
	}
	for _, d := range r.Deletes {
		c.Writes = append(c.Writes, write{Delete: d})
	}
	return HTTPRequest{"POST", "/commit", mustJSON(c)}
}

// stateBody is what the state service answers, whatever the request.
type stateBody struct {
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

// DecodeStoreReply reads the state service's answer. One that cannot be read counts
// as lost.
func DecodeStoreReply(kind storage.RequestKind, status int, body []byte) (*storage.Reply, error) {
	outcome, err := storeOutcome(kind, status, body)
	out := &storage.Reply{Outcome: outcome}
	switch outcome {
	case storage.OK, storage.NotFound, storage.Conflict:
	default:
		return out, err // the rest of the answer says nothing
	}
	var b stateBody
	if len(body) > 0 {
		if err := json.Unmarshal(body, &b); err != nil {
			out.Outcome = storage.OutcomeUnknown
			return out, fmt.Errorf("state: %w", err)
		}
	}
	out.Revision, out.Lease, out.More = b.Ledger, b.Permit, b.HasNext
	switch kind {
	case storage.Get:
		if status == 200 {
			out.Items = []storage.Item{{Key: b.Key, Value: b.V, ModRevision: b.Stamp}}
		}
	case storage.List:
		for _, r := range b.Rows {
			out.Items = append(out.Items, storage.Item{Key: r.Key, Value: r.V, ModRevision: r.Stamp})
		}
	case storage.Watch:
		out.Items = b.changes()
		if out.Revision == 0 {
			out.Outcome = storage.OutcomeUnknown
			return out, fmt.Errorf("state: changes without a revision")
		}
	}
	return out, nil
}

// storeOutcome is what a status means.
func storeOutcome(kind storage.RequestKind, status int, body []byte) (storage.Outcome, error) {
	switch status {
	case 200, 201, 204:
		return storage.OK, nil
	case 404:
		return storage.NotFound, nil
	case 409:
		return storage.Conflict, nil
	case 410:
		return storage.Compacted, nil
	case 429, 503:
		return storage.Unavailable, nil
	case 400:
		var e struct {
			Error string `json:"error"`
		}
		if (kind == storage.Txn || kind == storage.LeaseKeepAlive) && json.Unmarshal(body, &e) == nil && e.Error == "no such lease" {
			return storage.LeaseNotFound, nil
		}
		return storage.Invalid, fmt.Errorf("state: rejected as malformed or too large: %.200s", body)
	}
	return storage.OutcomeUnknown, fmt.Errorf("state: status %d", status)
}

func (b *stateBody) changes() []storage.Item {
	var items []storage.Item
	for _, e := range b.Log {
		it := storage.Item{Key: e.Set, Value: e.V, ModRevision: e.Stamp}
		if e.Delete != "" {
			it = storage.Item{Key: e.Delete, ModRevision: e.Stamp, Deleted: true}
		}
		items = append(items, it)
	}
	return items
}
