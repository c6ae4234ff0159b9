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

// minInputQueue bounds the inputs waiting for the loop where there are few sockets.
const minInputQueue = 2048

// maxBatch is how many inputs a step of the core takes at most.
const maxBatch = 64

// inputQueueSize bounds the inputs waiting for the loop: every connection has one request in progress
// at most, so that there is a place for each of a fleet whose heartbeats come in the same instant.
func inputQueueSize(cfg *config.Config) int {
	return max(minInputQueue, cfg.Settings.MachineLimits.MaxConnections)
}

// driver hands inputs to the core, one step at a time, and carries out what it asks for.
type driver struct {
	cfg      *config.Config
	log      *slog.Logger
	core     *coordination.Core
	start    time.Time
	inputs   chan messages.Input
	healthy  atomic.Bool
	lastStep atomic.Int64 // when the loop last went round, in microseconds since start

	pending *pendingRequests
	clients *clients
	peers   *peerLinks

	malformedHeartbeats rate.Sometimes // bounds what malformed heartbeats make us log
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

// monotonicNow is the time since the start, counted from 1.
func (d *driver) monotonicNow() micros.Time { return time.Since(d.start).Microseconds() + 1 }

// run drives the core until ctx ends, and returns when the calls that it began have ended, too.
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
		d.lastStep.Store(d.monotonicNow())
		timer.Reset(micros.Duration(max(0, out.NextTick-d.monotonicNow())))
	}
}

// drainInputs fills a batch with what waits already.
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

// execute carries out what a step asked for. A call's goroutine ends with its timeout, or with ctx.
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

// enqueue hands in a completion; those must not get lost.
func (d *driver) enqueue(ctx context.Context, in messages.Input) {
	select {
	case d.inputs <- in:
	case <-ctx.Done():
	}
}

// request hands a request to the core and waits for the response; none in time, or no place for the
// request, is the false return.
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
