// Package transport connects the core with the world: HTTP for users, workers
// and health checks, clients of state service, cloud and workers, and the
// connections between controllers. One loop drives the core.
package transport

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pipitlatch/internal/coordination/messages"

	"golang.org/x/time/rate"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination"
	"pipitlatch/internal/micros"
)

// minInputQueue bounds the inputs waiting for the loop where there are few sockets.
const minInputQueue = 2048

// inputQueueSize bounds the inputs waiting for the loop: every connection has one request in
// progress at most, so that a whole fleet that reports in the same instant finds room.
func inputQueueSize(cfg *config.Config) int {
	return max(minInputQueue, cfg.Settings.MachineLimits.MaxConnections)
}

// Driver runs one controller.
type Driver struct {
	cfg     *config.Config
	log     *slog.Logger
	core    *coordination.Core
	start   time.Time
	inputs  chan messages.Input
	healthy atomic.Bool
	stepped atomic.Int64 // when the loop last went round, in microseconds since start

	mu      sync.Mutex
	nextReq messages.RequestID
	waiting map[messages.RequestID]chan messages.Response

	clients  *clients
	siblings *peerLinks

	badReports rate.Sometimes // bounds what malformed reports make us log
}

// Run serves until ctx ends.
func Run(ctx context.Context, cfg *config.Config, log *slog.Logger) error {
	d := &Driver{cfg: cfg, log: log, start: time.Now(), inputs: make(chan messages.Input, inputQueueSize(cfg)),
		waiting:    map[messages.RequestID]chan messages.Response{},
		badReports: rate.Sometimes{First: 3, Interval: 5 * time.Second}}
	incarnation := rand.Text()
	d.core = coordination.New(cfg, incarnation)
	d.clients = newClients(cfg, log)

	users, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer users.Close()
	internal, err := net.Listen("tcp", cfg.InternalAddr)
	if err != nil {
		return fmt.Errorf("internal_addr: %w", err)
	}
	defer internal.Close()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.siblings = newPeerLinks(cfg, log, d.inputs)
	d.siblings.run(ctx, internal)

	listener := &boundedListener{Listener: users, most: int64(cfg.Sockets().Serve), log: log,
		refusals: rate.Sometimes{First: 1, Interval: refusalLogInterval}}
	server := &http.Server{
		Handler:           d.routes(listener),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       idleTimeout(cfg),
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	log.Info("serving", "member", cfg.Member, "incarnation", incarnation, "listen", cfg.Listen, "internal", cfg.InternalAddr)
	go d.loop(ctx)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		shut, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		return server.Shutdown(shut)
	}
}

func (d *Driver) steady() micros.Time { return time.Since(d.start).Microseconds() + 1 }

// loop hands inputs to the core and carries out what it asks for.
func (d *Driver) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]messages.Input, 0, 64)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case in := <-d.inputs:
			batch = append(batch, in)
		case <-timer.C:
		}
	more:
		for len(batch) < cap(batch) {
			select {
			case in := <-d.inputs:
				batch = append(batch, in)
			default:
				break more
			}
		}
		begin := d.steady()
		out := d.core.Step(begin, time.Now().UnixMicro(), batch...)
		d.core.ObserveStepDuration(d.steady() - begin)
		clear(batch)
		d.execute(ctx, out)
		d.healthy.Store(d.core.Healthy())
		d.stepped.Store(d.steady())
		timer.Reset(micros.Duration(max(0, out.NextTick-d.steady())))
	}
}

func (d *Driver) execute(ctx context.Context, out *messages.Output) {
	for _, l := range out.LogRecords {
		d.log.Log(ctx, slog.Level(l.Level), l.Message, l.Attributes...)
	}
	for i := range out.Responses {
		d.reply(out.Responses[i])
	}
	for i := range out.StoreCalls {
		c := &out.StoreCalls[i]
		go func() {
			d.enqueue(ctx, &messages.StoreCompletion{Call: c.Call, Reply: d.clients.callStore(ctx, c)})
		}()
	}
	for i := range out.CloudCalls {
		c := &out.CloudCalls[i]
		go func() {
			d.enqueue(ctx, &messages.CloudCompletion{Call: c.Call, Reply: d.clients.callCloud(ctx, c)})
		}()
	}
	for i := range out.AgentCalls {
		c := &out.AgentCalls[i]
		go func() {
			d.enqueue(ctx, &messages.AgentCompletion{Call: c.Call, Reply: d.clients.callAgent(ctx, c)})
		}()
	}
	for _, p := range out.PeerMessages {
		d.siblings.send(p.To, p.Status)
	}
}

// enqueue hands in a completion; those must not get lost.
func (d *Driver) enqueue(ctx context.Context, in messages.Input) {
	select {
	case d.inputs <- in:
	case <-ctx.Done():
	}
}

func (d *Driver) reply(a messages.Response) {
	d.mu.Lock()
	ch := d.waiting[a.Request]
	delete(d.waiting, a.Request)
	d.mu.Unlock()
	if ch != nil {
		ch <- a // has room for one
	}
}

// request hands a request to the core and waits for the answer; none in time, or no
// room for it, is the false return.
func (d *Driver) request(ctx context.Context, patience time.Duration, input func(messages.RequestID) messages.Input) (messages.Response, bool) {
	ch := d.expect()
	d.mu.Lock()
	d.nextReq++
	id := d.nextReq
	d.waiting[id] = ch
	d.mu.Unlock()
	forget := func() {
		d.mu.Lock()
		delete(d.waiting, id)
		d.mu.Unlock()
	}
	select {
	case d.inputs <- input(id):
	default:
		forget()
		return messages.Response{}, false
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case a := <-ch:
		return a, true
	case <-timer.C:
	case <-ctx.Done():
	}
	forget()
	return messages.Response{}, false
}

func (d *Driver) expect() chan messages.Response { return make(chan messages.Response, 1) }
