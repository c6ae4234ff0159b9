package scenario

import (
	"fmt"
	"time"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
	"pipitlatch/internal/storage"
)

// node is one controller.
type node struct {
	w                  *World
	name               string
	config             *config.Config
	nextConfig         *config.Config // the same with smaller limits to come
	core               *coordination.Core
	incarnation        int // counts processes
	paused             bool
	inbox              []messages.Input // while paused
	wakeSequence       int
	drift              float64
	skew               micros.Time
	agentCallsInFlight int // direct calls to agents that are out
	lastRequestID      messages.RequestID
	pendingRequests    map[messages.RequestID]func(messages.Response)
}

func (n *node) up() bool { return n.core != nil }

func (n *node) start() {
	if n.core != nil {
		return
	}
	n.incarnation++
	n.core = coordination.New(n.config, fmt.Sprintf("%s.%d", n.name, n.incarnation))
	n.pendingRequests = map[messages.RequestID]func(messages.Response){}
	n.paused, n.inbox, n.agentCallsInFlight = false, nil, 0
	n.step()
}

// resume ends a pause: what arrived meanwhile is handed in at once.
func (n *node) resume() {
	n.paused = false
	in := n.inbox
	n.inbox = nil
	n.step(in...)
}

func (n *node) crash() {
	n.incarnation++
	n.core = nil
}

// step hands inputs to the core and carries out what it asks for.
func (n *node) step(in ...messages.Input) {
	if n.core == nil {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, in...)
		return
	}
	w := n.w
	steady := micros.Time(float64(w.now)*n.drift) + 1
	began := time.Now()
	out := n.core.Step(steady, 1_800_000_000*micros.Second+w.now+n.skew, in...)
	w.observed.load.stepTime += time.Since(began)
	for _, l := range out.LogRecords {
		n.observeLog(l)
	}
	for _, a := range out.Responses {
		w.digest.answer(n, &a)
		if then := n.pendingRequests[a.Request]; then != nil {
			delete(n.pendingRequests, a.Request)
			then(a)
		}
	}
	for i := range out.StoreCalls {
		n.callStore(out.StoreCalls[i])
	}
	for i := range out.CloudCalls {
		n.callCloud(out.CloudCalls[i])
	}
	for i := range out.AgentCalls {
		n.callAgent(out.AgentCalls[i])
	}
	for _, p := range out.PeerMessages {
		n.sendPeerMessage(p)
	}
	n.wakeSequence++
	seq, life := n.wakeSequence, n.incarnation
	w.after(max(micros.Millisecond, out.NextTick-steady), func() {
		if n.incarnation == life && n.wakeSequence == seq {
			n.step()
		}
	})
}

// observeLog takes what a controller logs: some of it is held against the rules, or counted.
func (n *node) observeLog(l messages.LogRecord) {
	w := n.w
	switch {
	case l.Message == "duplicate task attempt":
		w.breakRule("conflict", "%s: %v", n.name, l.Attributes)
	case l.Message == "partition leadership acquired":
		w.observed.failovers++
		kept := w.observed.replayedHeartbeats
		w.observed.replayedHeartbeats = nil
		for _, raw := range kept {
			for _, o := range w.nodes {
				w.after(w.random.Int64N(300*micros.Millisecond), func() { o.receiveDuplicate(raw) })
			}
		}
	case l.Message == "all machines reconciled" && len(l.Attributes) == 4:
		if ms, ok := l.Attributes[3].(micros.Time); ok {
			w.observed.longestReconciliation = max(w.observed.longestReconciliation, ms*micros.Millisecond)
		}
	}
	w.observeAdmissionLog(l)
	w.logf("%10.3f %s %s %v", micros.Seconds(w.now), n.name, l.Message, l.Attributes)
}

func (n *node) callStore(c messages.StoreCall) {
	if c.Request.Kind == storage.Txn {
		n.w.observed.load.storeWrites++
	}
	req := protocol.EncodeStoreRequest(c.Request)
	n.w.digest.request(n, "state", req, c.Timeout)
	n.call(storeHost, c.Timeout, func(reply replyFunc) {
		n.w.store.handle(n.name, req, reply)
	}, func(status int, body []byte) {
		r, _ := protocol.DecodeStoreReply(c.Request.Kind, status, body)
		n.step(&messages.StoreCompletion{Call: c.Call, Reply: r})
	})
}

func (n *node) callCloud(c messages.CloudCall) {
	req := protocol.EncodeCloudRequest(&c)
	n.w.digest.request(n, "cloud", req, c.Timeout)
	n.call(cloudHost, c.Timeout, func(reply replyFunc) {
		n.w.cloud.handle(req, reply)
	}, func(status int, body []byte) {
		r, _ := protocol.DecodeCloudReply(c.Operation, status, body)
		n.step(&messages.CloudCompletion{Call: c.Call, Reply: r})
	})
}

func (n *node) callAgent(c messages.AgentCall) {
	w := n.w
	w.observed.load.agentCalls++
	body := protocol.EncodeCommands(&c)
	w.digest.command(n, &c, body)
	m := w.cloud.byAddress[c.Address]
	target := "nowhere"
	if m != nil {
		target = m.name
	}
	if w.cutBetween(n.name, target) != nil {
		for _, cmd := range c.Commands {
			if cmd.Operation == messages.Start {
				w.observed.startsIntoCuts++
			}
		}
	}
	if n.agentCallsInFlight++; n.agentCallsInFlight > n.config.Sockets().Calls {
		w.breakRule("sockets", "%s: %d calls to workers at once", n.name, n.agentCallsInFlight)
	}
	n.call(target, c.Timeout, func(reply replyFunc) {
		if m == nil || m.lifecycle.gone || !m.lifecycle.booted {
			return
		}
		if c.StatusOnly {
			m.serveStatus(reply)
		} else {
			m.serveCommands(body, reply)
		}
	}, func(status int, body []byte) {
		n.agentCallsInFlight--
		n.step(&messages.AgentCompletion{Call: c.Call, Reply: protocol.DecodeAgentReply(status, body)})
	})
}

// sendPeerMessage sends a message to a peer, over the wire's form.
func (n *node) sendPeerMessage(p messages.PeerMessage) {
	raw := protocol.EncodePeerStatus(p.Status)
	n.w.digest.status(n, p, raw)
	o := n.w.node(p.To)
	if o == nil {
		return
	}
	receive := func() {
		if s, err := protocol.DecodePeerStatus(raw); err == nil {
			o.step(s)
		}
	}
	n.w.send(n.name, o.name, receive)
	if by := n.w.network.statusRepeatDelay; by > 0 {
		n.w.after(n.w.random.Int64N(int64(by)), receive)
	}
}

// call sends a request and hands in the answer, or status 0 after the timeout.
func (n *node) call(to string, timeout micros.Time, handle func(reply replyFunc), done replyFunc) {
	w, life, over := n.w, n.incarnation, false
	finish := func(status int, body []byte) {
		if n.incarnation == life && !over {
			over = true
			done(status, body)
		}
	}
	w.after(timeout, func() { finish(0, nil) })
	w.send(n.name, to, func() {
		handle(func(status int, body []byte) {
			w.send(to, n.name, func() { finish(status, body) })
		})
	})
}

// request hands a request in and calls then with the answer.
func (n *node) request(input inputOf, then func(messages.Response)) {
	if n.core == nil {
		return
	}
	n.lastRequestID++
	n.pendingRequests[n.lastRequestID] = then
	n.step(input(n.lastRequestID))
}

// receiveDuplicate hands in a copy of a heartbeat: nobody waits for the answer.
func (n *node) receiveDuplicate(raw []byte) {
	if rep, err := protocol.ParseHeartbeat(raw); err == nil && n.up() {
		n.request(func(id messages.RequestID) messages.Input {
			return &messages.HeartbeatRequest{Request: id, Heartbeat: rep}
		}, func(messages.Response) {})
	}
}
