package transport

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pipitlatch/internal/coordination/messages"

	"golang.org/x/time/rate"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// TestWatchTooLarge: the changes since a long standstill may be more than an answer may
// have. Asking for them again and again would never end; the state is read anew.
func TestWatchTooLarge(t *testing.T) {
	state := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(bytes.Repeat([]byte(" "), maxStateAnswer+1))
	}))
	defer state.Close()
	cfg := &config.Config{Operator: &config.Operator{}}
	cfg.Services.State = strings.TrimPrefix(state.URL, "http://")
	cfg.Settings.MachineLimits.MaxConnections = 100
	c := newClients(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	call := func(kind storage.RequestKind) storage.Outcome {
		return c.callStore(context.Background(), &messages.StoreCall{Request: &storage.Request{Kind: kind, Key: "pl/"}, Timeout: 10 * micros.Second}).Outcome
	}
	if got := call(storage.Watch); got != storage.Compacted {
		t.Errorf("a watch: %v", got)
	}
	if got := call(storage.List); got != storage.OutcomeUnknown {
		t.Errorf("a list: %v", got)
	}
}

// TestConnectionsBeyondTheBound: they are refused, and the operator is told, a line now and
// then however many they are.
func TestConnectionsBeyondTheBound(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	l := &boundedListener{Listener: inner, most: 2, log: slog.New(slog.NewTextHandler(&out, nil)),
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
		defer c.Close()
		if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		_, _ = c.Read(make([]byte, 1)) // the end of a refused one, or the deadline
	}
	inner.Close()
	<-done
	if len(accepted) != 2 {
		t.Errorf("%d accepted", len(accepted))
	}
	if n := strings.Count(out.String(), "connection refused"); n != 1 {
		t.Errorf("%d lines: %s", n, out.String())
	}
}

// TestInputQueueHoldsAFleet: every connection may have a request in progress at once.
func TestInputQueueHoldsAFleet(t *testing.T) {
	cfg := &config.Config{}
	cfg.Settings.MachineLimits.MaxConnections = 10_800
	if got := inputQueueSize(cfg); got < 10_800 {
		t.Errorf("%d", got)
	}
}
