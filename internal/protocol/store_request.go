package protocol

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// condition is the JSON form of a compare in a transaction.
type condition struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

// write is the JSON form of a put or a delete in a transaction.
type write struct {
	Set    string          `json:"set,omitempty"`
	V      json.RawMessage `json:"v,omitempty"`
	Permit uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// EncodeStoreRequest encodes a request to the key-value store.
func EncodeStoreRequest(r *storage.Request) HTTPRequest {
	switch r.Kind {
	case storage.Get:
		return HTTPRequest{http.MethodGet, "/store/" + r.Key, nil}
	case storage.List:
		query := url.Values{"under": {r.Key}, "page": {strconv.Itoa(r.Limit)}}
		if r.After != "" {
			query.Set("after", r.After)
		}
		return HTTPRequest{http.MethodGet, "/store?" + query.Encode(), nil}
	case storage.Watch:
		query := url.Values{"under": {r.Key}, "after": {strconv.FormatUint(r.Revision, 10)},
			"block_ms": {strconv.FormatInt(r.Wait/micros.Millisecond, 10)}}
		return HTTPRequest{http.MethodGet, "/changes?" + query.Encode(), nil}
	case storage.LeaseGrant:
		return HTTPRequest{http.MethodPost, "/grants", mustJSON(struct {
			TTL int64 `json:"ttl_ms"`
		}{r.TTL / micros.Millisecond})}
	case storage.LeaseKeepAlive:
		return HTTPRequest{http.MethodPost, "/grants/" + strconv.FormatUint(r.Lease, 10) + "/touch", []byte("{}")}
	case storage.Txn:
	}
	return encodeTransaction(r)
}

func encodeTransaction(r *storage.Request) HTTPRequest {
	// Empty lists are encoded as [], never as null.
	commit := struct {
		If     []condition `json:"if"`
		Writes []write     `json:"writes"`
	}{[]condition{}, []write{}}
	for _, compare := range r.Compares {
		commit.If = append(commit.If, condition{compare.Key, compare.ModRevision})
	}
	for _, put := range r.Puts {
		commit.Writes = append(commit.Writes, write{Set: put.Key, V: put.Value, Permit: put.Lease})
	}
	for _, key := range r.Deletes {
		commit.Writes = append(commit.Writes, write{Delete: key})
	}
	return HTTPRequest{http.MethodPost, "/commit", mustJSON(commit)}
}
