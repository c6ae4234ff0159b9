package transport

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// minInputQueue is the capacity of the input queue if max_connections is smaller.
const minInputQueue = 2048

// maxBatch is the maximum number of inputs per step of the core.
const maxBatch = 64

// inputQueueSize is the capacity of the input queue. A connection has at most one request in progress, so
// the queue holds the heartbeats of a whole fleet even if they arrive at the same instant.
func inputQueueSize(cfg *config.Config) int {
	return max(minInputQueue, cfg.Settings.MachineLimits.MaxConnections)
}

// driver passes inputs to the core, one step at a time, and executes the calls, responses and messages that
// the step returns.
type driver struct {
	cfg      *config.Config
	log      *slog.Logger
	core     *coordination.Core
	start    time.Time
	inputs   chan messages.Input
	healthy  atomic.Bool
	lastStep atomic.Int64 // monotonicNow at the end of the last step

	metrics       atomic.Pointer[messages.Metrics] // nil before the first step
	nextMetricsAt micros.Time

	pending *pendingRequests
	clients *clients
	peers   *peerLinks

	malformedHeartbeats rate.Sometimes // rate limit for log records of malformed heartbeats
}

func newDriver(cfg *config.Config, incarnation string, log *slog.Logger) *driver {
	inputs := make(chan messages.Input, inputQueueSize(cfg))
	return &driver{
		cfg:                 cfg,
		log:                 log,
		core:                coordination.New(cfg, incarnation),
		start:               time.Now(),
		inputs:              inputs,
		pending:             newPendingRequests(),
		clients:             newClients(cfg, log),
		peers:               newPeerLinks(cfg, log, inputs),
		malformedHeartbeats: rate.Sometimes{First: 3, Interval: 5 * time.Second},
	}
}

// monotonicNow returns the time since the start plus one microsecond, so that it is never zero.
func (d *driver) monotonicNow() micros.Time { return time.Since(d.start).Microseconds() + 1 }

// run steps the core until ctx ends, and returns once the calls that it started have ended.
func (d *driver) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer d.clients.close()
	defer calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]messages.Input, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case in := <-d.inputs:
			batch = append(batch, in)
		case <-timer.C:
		}
		batch = d.drainInputs(batch)
		begin := d.monotonicNow()
		out := d.core.Step(begin, time.Now().UnixMicro(), batch...)
		d.core.ObserveStepDuration(d.monotonicNow() - begin)
		clear(batch)
		d.execute(ctx, &calls, out)
		d.healthy.Store(d.core.Healthy())
		d.updateMetrics()
		d.lastStep.Store(d.monotonicNow())
		timer.Reset(micros.Duration(max(0, out.NextTick-d.monotonicNow())))
	}
}

// drainInputs fills a batch with inputs that are already queued, without blocking.
func (d *driver) drainInputs(batch []messages.Input) []messages.Input {
	for len(batch) < cap(batch) {
		select {
		case in := <-d.inputs:
			batch = append(batch, in)
		default:
			return batch
		}
	}
	return batch
}

// execute carries out the output of a step. The goroutine of a call ends with its timeout or with ctx.
func (d *driver) execute(ctx context.Context, calls *sync.WaitGroup, out *messages.Output) {
	for _, r := range out.LogRecords {
		d.log.Log(ctx, slog.Level(r.Level), r.Message, r.Attributes...)
	}
	for _, response := range out.Responses {
		d.pending.complete(response)
	}
	for i := range out.StoreCalls {
		c := &out.StoreCalls[i]
		calls.Go(func() {
			d.enqueue(ctx, &messages.StoreCompletion{Call: c.Call, Reply: d.clients.callStore(ctx, c)})
		})
	}
	for i := range out.CloudCalls {
		c := &out.CloudCalls[i]
		calls.Go(func() {
			d.enqueue(ctx, &messages.CloudCompletion{Call: c.Call, Reply: d.clients.callCloud(ctx, c)})
		})
	}
	for i := range out.AgentCalls {
		c := &out.AgentCalls[i]
		calls.Go(func() {
			d.enqueue(ctx, &messages.AgentCompletion{Call: c.Call, Reply: d.clients.callAgent(ctx, c)})
		})
	}
	for _, m := range out.PeerMessages {
		d.peers.send(m.To, m.Status)
	}
}

// enqueue queues a completion. It blocks while the queue is full, because completions must not be lost.
func (d *driver) enqueue(ctx context.Context, in messages.Input) {
	select {
	case d.inputs <- in:
	case <-ctx.Done():
	}
}

// request passes a request to the core and waits for the response. It returns false if the input queue is
// full, or if there is no response before the timeout or the end of ctx.
func (d *driver) request(
	ctx context.Context, timeout time.Duration, input func(messages.RequestID) messages.Input,
) (messages.Response, bool) {
	id, response := d.pending.add()
	defer d.pending.remove(id)
	select {
	case d.inputs <- input(id):
	default:
		return messages.Response{}, false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-response:
		return r, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return messages.Response{}, false
}
