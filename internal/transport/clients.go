package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
	"pipitlatch/internal/storage"
)

// Bounds on answers; a larger one counts as none.
const (
	maxStateAnswer  = 8 << 20
	maxCloudAnswer  = 1 << 20
	maxWorkerAnswer = 256 << 10
)

// errTooLarge: the answer is larger than its bound.
var errTooLarge = errors.New("answer too large")

// clients calls the outside services.
type clients struct {
	cfg     *config.Config
	log     *slog.Logger
	service *http.Client // state service and cloud
	workers *http.Client
}

// newClient bounds connections, idle ones included, to each host.
func newClient(dial time.Duration, perHost, idlePerHost, idle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dial, KeepAlive: 15 * time.Second}).DialContext,
			MaxIdleConns:           idle,
			MaxIdleConnsPerHost:    idlePerHost,
			MaxConnsPerHost:        perHost,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: 16 << 10,
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func newClients(cfg *config.Config, log *slog.Logger) *clients {
	sockets := cfg.Sockets()
	return &clients{cfg: cfg, log: log,
		service: newClient(time.Second, sockets.Service/2, sockets.Service/4, sockets.Service/2),
		workers: newClient(time.Second, 2, 1, sockets.Calls/2)}
}

// do sends a request once. It must not be repeated behind the core's back: a
// repetition would be a second send that nobody counts.
func (c *clients) do(ctx context.Context, client *http.Client, host string, r protocol.HTTPRequest, timeout micros.Time, most int64) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, micros.Duration(timeout))
	defer cancel()
	var body io.Reader
	if r.Body != nil {
		// Hidden from net/http's type check on purpose: without GetBody it does not
		// send the request a second time on a fresh connection.
		body = struct{ io.Reader }{bytes.NewReader(r.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+host+r.Path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("request: %w", err)
	}
	if r.Body != nil {
		req.ContentLength = int64(len(r.Body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(b)) > most {
		return 0, nil, errTooLarge
	}
	return resp.StatusCode, b, nil
}

func (c *clients) callStore(ctx context.Context, call *messages.StoreCall) *storage.Reply {
	status, body, err := c.do(ctx, c.service, c.cfg.Services.State, protocol.EncodeStoreRequest(call.Request), call.Timeout, maxStateAnswer)
	if err == nil {
		var r *storage.Reply
		if r, err = protocol.DecodeStoreReply(call.Request.Kind, status, body); err == nil {
			return r
		}
		c.log.Warn("key-value store request failed", "err", err)
		return r
	}
	if errors.Is(err, errTooLarge) && call.Request.Kind == storage.Watch {
		// A watch brings all changes since the last, however many: after a standstill
		// they may be more than is ever read, and asking again would bring even more.
		c.log.Warn("change stream response too large, loading a new snapshot")
		return &storage.Reply{Outcome: storage.Compacted}
	}
	c.log.Debug("key-value store request failed", "err", err)
	return &storage.Reply{Outcome: storage.OutcomeUnknown}
}

func (c *clients) callCloud(ctx context.Context, call *messages.CloudCall) *messages.CloudReply {
	status, body, err := c.do(ctx, c.service, c.cfg.Services.Cloud, protocol.EncodeCloudRequest(call), call.Timeout, maxCloudAnswer)
	if err == nil {
		var r *messages.CloudReply
		if r, err = protocol.DecodeCloudReply(call.Operation, status, body); err == nil {
			return r
		}
		c.log.Warn("cloud request failed", "err", err)
		return r
	}
	c.log.Debug("cloud request failed", "err", err)
	return &messages.CloudReply{Outcome: messages.CloudOutcomeUnknown}
}

func (c *clients) callAgent(ctx context.Context, call *messages.AgentCall) *messages.AgentReply {
	r := protocol.HTTPRequest{Method: "GET", Path: "/show"}
	if !call.StatusOnly {
		r = protocol.HTTPRequest{Method: "POST", Path: "/commands", Body: protocol.EncodeCommands(call)}
	}
	status, body, err := c.do(ctx, c.workers, call.Address, r, call.Timeout, maxWorkerAnswer)
	if err != nil {
		c.log.Debug("agent call failed", "machine", call.Machine, "err", err)
		return &messages.AgentReply{}
	}
	return protocol.DecodeAgent(status, body)
}
