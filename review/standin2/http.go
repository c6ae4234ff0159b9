package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxBody is the largest request body that the pages allow.
const maxBody = 64 << 10

// loopback is the address of the stand-ins that are no machines.
const loopback = "127.0.0.1"

// server is a stand-in's HTTP server on a free port of a loopback address.
type server struct {
	address string
	http    *http.Server
}

func serve(ip string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{address: listener.Addr().String(), http: &http.Server{Handler: handler}}
	go func() { _ = s.http.Serve(listener) }() // returns when the server is closed
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

// reply writes a JSON reply.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client is gone
}

func replyError(w http.ResponseWriter, status int, text string) {
	reply(w, status, map[string]string{"error": text})
}

// delayed lets a stand-in take some time for every answer, as it does in the kit's site files.
func delayed(by time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(by)
		next.ServeHTTP(w, r)
	})
}

// readJSON decodes a request's body; it replies 400 and returns false if that fails.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		replyError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// call sends a request; status is 0 if there was no answer in time.
func call(client *http.Client, method, url string, body any, timeout time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err) // bodies are plain structs and maps
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		panic(fmt.Sprintf("request %s: %v", url, err))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // it was read, or the request failed
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// bucket limits a rate, with bursts of one or more seconds' worth.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

func newBucket(rate, seconds float64) *bucket {
	return &bucket{rate: rate, burst: rate * seconds, level: rate * seconds, at: time.Now()}
}

// take reports whether the cost is within the limit, and takes it if so.
func (b *bucket) take(cost float64) bool {
	now := time.Now()
	b.level = min(b.burst, b.level+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.level < cost {
		return false
	}
	b.level -= cost
	return true
}
