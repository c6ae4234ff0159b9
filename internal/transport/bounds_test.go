package transport

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// TestWatchTooLarge: after a long outage the changes may exceed the size limit of a reply. Repeating the watch
// would never succeed, so the reply must cause a new snapshot to be loaded.
func TestWatchTooLarge(t *testing.T) {
	state := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte(" "), maxStoreReply+1)) // the client may disconnect before the end
	}))
	defer state.Close()
	cfg := &config.Config{Operator: &config.Operator{}}
	cfg.Services.State = strings.TrimPrefix(state.URL, "http://")
	cfg.Settings.MachineLimits.MaxConnections = 100
	c := newClients(cfg, discardLog())
	call := func(kind storage.RequestKind) storage.Outcome {
		request := &storage.Request{Kind: kind, Key: "pl/"}
		return c.callStore(context.Background(), &messages.StoreCall{Request: request, Timeout: 10 * micros.Second}).Outcome
	}
	if got := call(storage.Watch); got != storage.Compacted {
		t.Errorf("watch: got %v, want %v", got, storage.Compacted)
	}
	if got := call(storage.List); got != storage.OutcomeUnknown {
		t.Errorf("list: got %v, want %v", got, storage.OutcomeUnknown)
	}
}

// TestConnectionLimit: connections above the limit are closed, and logged at most once per
// refusalLogInterval regardless of their number.
func TestConnectionLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	l := &boundedListener{Listener: inner, limit: 2, log: slog.New(slog.NewTextHandler(&out, nil)),
		refusals: rate.Sometimes{First: 1, Interval: refusalLogInterval}}
	accepted := make(chan net.Conn, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 6 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer mustClose(t, c)
		if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		_, _ = c.Read(make([]byte, 1)) // returns at EOF if refused, otherwise at the deadline
	}
	mustClose(t, inner)
	<-done
	close(accepted)
	if len(accepted) != 2 {
		t.Errorf("%d connections accepted, want 2", len(accepted))
	}
	for c := range accepted {
		mustClose(t, c)
	}
	if n := strings.Count(out.String(), "connection refused"); n != 1 {
		t.Errorf("%d log records of refused connections, want 1: %s", n, out.String())
	}
}

// TestInputQueueCoversMaxConnections: every connection may have a request in progress at once.
func TestInputQueueCoversMaxConnections(t *testing.T) {
	cfg := &config.Config{}
	cfg.Settings.MachineLimits.MaxConnections = 10_800
	if got := inputQueueSize(cfg); got < 10_800 {
		t.Errorf("capacity %d, want at least 10800", got)
	}
}
