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

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
	"pipitlatch/internal/storage"
)

// Size limits of replies. A larger reply is treated as no reply.
const (
	maxStoreReply = 8 << 20
	maxCloudReply = 1 << 20
	maxAgentReply = 256 << 10
)

// dialTimeout limits how long establishing a connection may take.
const dialTimeout = time.Second

// errReplyTooLarge is returned for a reply that exceeds its size limit.
var errReplyTooLarge = errors.New("answer too large")

// clients calls the key-value store, the cloud and agents.
type clients struct {
	cfg      *config.Config
	log      *slog.Logger
	services *http.Client // key-value store and cloud
	agents   *http.Client
}

func newClients(cfg *config.Config, log *slog.Logger) *clients {
	sockets := cfg.Sockets()
	return &clients{
		cfg:      cfg,
		log:      log,
		services: newHTTPClient(sockets.Service/2, sockets.Service/4, sockets.Service/2),
		agents:   newHTTPClient(2, 1, sockets.Calls/2),
	}
}

// newHTTPClient returns a client with limits on the connections per host, the idle connections per host and
// the idle connections in total.
func newHTTPClient(perHost, idlePerHost, idle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
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

// close closes idle connections. Calls in progress end with their context.
func (c *clients) close() {
	c.services.CloseIdleConnections()
	c.agents.CloseIdleConnections()
}

// exchange is a request with the time and size limits of its reply.
type exchange struct {
	host     string
	request  protocol.HTTPRequest
	timeout  micros.Time
	maxBytes int64
}

// sendOnce sends a request without retries. The core decides on retries and counts calls; a retry here would
// be a second request that it does not know of.
func sendOnce(ctx context.Context, client *http.Client, x exchange) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, micros.Duration(x.timeout))
	defer cancel()
	req, err := x.httpRequest(ctx)
	if err != nil {
		return 0, nil, fmt.Errorf("request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer closeQuietly(resp.Body)
	body, err = io.ReadAll(io.LimitReader(resp.Body, x.maxBytes+1))
	if err != nil {
		return 0, nil, err
	}
	if int64(len(body)) > x.maxBytes {
		return 0, nil, errReplyTooLarge
	}
	return resp.StatusCode, body, nil
}

func (x *exchange) httpRequest(ctx context.Context) (*http.Request, error) {
	url := "http://" + x.host + x.request.Path
	if x.request.Body == nil {
		return http.NewRequestWithContext(ctx, x.request.Method, url, nil)
	}
	// The wrapper hides the reader's type from net/http, which then leaves GetBody unset and does not
	// resend the request on a new connection.
	body := struct{ io.Reader }{bytes.NewReader(x.request.Body)}
	req, err := http.NewRequestWithContext(ctx, x.request.Method, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(x.request.Body))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// callStore never returns nil. Without a readable reply the outcome is unknown: the call may have been executed.
// A watch whose reply is too large counts as compacted.
func (c *clients) callStore(ctx context.Context, call *messages.StoreCall) *storage.Reply {
	status, body, err := sendOnce(ctx, c.services, exchange{
		host:     c.cfg.Services.State,
		request:  protocol.EncodeStoreRequest(call.Request),
		timeout:  call.Timeout,
		maxBytes: maxStoreReply,
	})
	if errors.Is(err, errReplyTooLarge) && call.Request.Kind == storage.Watch {
		// A watch returns all changes since the last one. After a long outage they may exceed the size
		// limit, and a retry would return even more.
		c.log.Warn("change stream response too large, loading a new snapshot")
		return &storage.Reply{Outcome: storage.Compacted}
	}
	if err != nil {
		c.log.Debug("key-value store request failed", "err", err)
		return &storage.Reply{Outcome: storage.OutcomeUnknown}
	}
	reply, err := protocol.DecodeStoreReply(call.Request.Kind, status, body)
	if err != nil {
		c.log.Warn("key-value store request failed", "err", err)
	}
	return reply
}

// callCloud never returns nil. Without a readable reply the outcome is unknown: the call may have been executed.
func (c *clients) callCloud(ctx context.Context, call *messages.CloudCall) *messages.CloudReply {
	status, body, err := sendOnce(ctx, c.services, exchange{
		host:     c.cfg.Services.Cloud,
		request:  protocol.EncodeCloudRequest(call),
		timeout:  call.Timeout,
		maxBytes: maxCloudReply,
	})
	if err != nil {
		c.log.Debug("cloud request failed", "err", err)
		return &messages.CloudReply{Outcome: messages.CloudOutcomeUnknown}
	}
	reply, err := protocol.DecodeCloudReply(call.Operation, status, body)
	if err != nil {
		c.log.Warn("cloud request failed", "err", err)
	}
	return reply
}

// callAgent never returns nil. Without a readable reply it returns an empty one.
func (c *clients) callAgent(ctx context.Context, call *messages.AgentCall) *messages.AgentReply {
	request := protocol.HTTPRequest{Method: http.MethodGet, Path: "/show"}
	if !call.StatusOnly {
		request = protocol.HTTPRequest{
			Method: http.MethodPost, Path: "/commands", Body: protocol.EncodeCommands(call),
		}
	}
	status, body, err := sendOnce(ctx, c.agents, exchange{
		host: call.Address, request: request, timeout: call.Timeout, maxBytes: maxAgentReply,
	})
	if err != nil {
		c.log.Debug("agent call failed", "machine", call.Machine, "err", err)
		return &messages.AgentReply{}
	}
	return protocol.DecodeAgentReply(status, body)
}
