package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// TestClosedClientsKeepNoConnections: a connection is reused by the next call and closed by close.
func TestClosedClientsKeepNoConnections(t *testing.T) {
	ended := make(chan struct{}, 4)
	agent := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	agent.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			ended <- struct{}{}
		}
	}
	agent.Start()
	t.Cleanup(agent.Close)
	cfg := &config.Config{Operator: &config.Operator{}}
	cfg.Settings.MachineLimits.MaxConnections = 100
	c := newClients(cfg, discardLog())
	address := strings.TrimPrefix(agent.URL, "http://")
	for range 2 {
		call := &messages.AgentCall{Address: address, StatusOnly: true, Timeout: 10 * micros.Second}
		if reply := c.callAgent(context.Background(), call); reply.Heartbeat != nil {
			t.Errorf("got %+v", reply)
		}
	}
	if len(ended) != 0 {
		t.Error("connection closed between calls")
	}
	c.close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("connection still open 10 s after close")
	}
}
