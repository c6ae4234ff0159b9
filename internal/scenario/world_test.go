package scenario

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

type event struct {
	at       micros.Time
	sequence int
	run      func()
}

type events []*event

// Len is part of heap.Interface, like the methods that follow.
func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// cut is an interruption between two hosts, or between one host and all others. An
// end may be a zone, with all that is in it now or later.
type cut struct {
	a, b    string // b "": everybody
	hold    bool   // packets are delivered afterwards, instead of never
	inbound bool   // only packets to a are lost
	held    []func()
}

// World is the simulated deployment.
type World struct {
	now                   micros.Time
	queue                 events
	eventSequence         int
	random                *rand.Rand
	config                *config.Config
	nodes                 []*node
	store                 *keyValueStore
	cloud                 *cloud
	users                 *users
	cuts                  []*cut
	startsIntoCuts        int         // starts sent into a cut
	faultsOver            micros.Time // when the last trouble so far is over
	longestReconciliation micros.Time // the longest that a holder did not know all its machines
	failovers             int         // how often a queue got a holder
	verdicts              verdicts
	replayedHeartbeats    [][]byte // reports whose copies come to the next holder

	interZoneDelay micros.Time // between zones, one way
	zoned          bool        // controllers are in zones too
	broken         []string
	logf           func(string, ...any)
	digest         *digest // of what leaves the nodes; nil: none

	// With controllers that are real processes: how a worker's report is sent, and
	// the address it listens at.
	sendHeartbeat func(m *machine, report []byte, end func(status int, body []byte))
	listenAddress func(*machine) string
}

func (w *World) after(d micros.Time, run func()) {
	w.eventSequence++
	heap.Push(&w.queue, &event{w.now + d, w.eventSequence, run})
}

// run plays until a time.
func (w *World) run(until micros.Time) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *World) breakRule(rule, format string, args ...any) {
	text := fmt.Sprintf("%.3f %s: %s", micros.Seconds(w.now), rule, fmt.Sprintf(format, args...))
	if len(w.broken) < 20 {
		w.broken = append(w.broken, text)
	}
}

// cutBetween finds what keeps packets from a from reaching b.
func (w *World) cutBetween(a, b string) *cut {
	for _, c := range w.cuts {
		if w.separatedBy(c, b, a) || (!c.inbound && w.separatedBy(c, a, b)) {
			return c
		}
	}
	return nil
}

// separatedBy tells whether one host is on the one side of a cut and the other on the other.
func (w *World) separatedBy(c *cut, one, other string) bool {
	if c.b == "" {
		return w.hostIsAt(c.a, one) && !w.hostIsAt(c.a, other)
	}
	return w.hostIsAt(c.a, one) && w.hostIsAt(c.b, other)
}

// hostIsAt tells whether a host is at an end of a cut: the host itself, or its zone.
func (w *World) hostIsAt(end, host string) bool {
	zone, ok := strings.CutPrefix(end, "zone-")
	return end == host || (ok && w.zoneOf(host) == zone)
}

// zoneOf is a host's zone; the state service, the cloud and users are in none.
func (w *World) zoneOf(host string) string {
	if n := w.node(host); n != nil {
		return n.config.Zone
	}
	if m := w.cloud.machines[host]; m != nil {
		return m.zone
	}
	return ""
}

// send delivers a packet after the network's delay, or holds or drops it.
func (w *World) send(from, to string, run func()) {
	if c := w.cutBetween(from, to); c != nil {
		if c.hold {
			c.held = append(c.held, run)
		}
		return
	}
	delay := 200 + w.random.Int64N(300)
	if w.interZoneDelay > 0 {
		if a, b := w.zoneOf(from), w.zoneOf(to); a != "" && b != "" && a != b {
			delay += w.interZoneDelay
		}
	}
	w.after(delay, run)
}

func (w *World) startCut(c *cut, length micros.Time) {
	w.cuts = append(w.cuts, c)
	w.after(length, func() {
		for i := range w.cuts {
			if w.cuts[i] == c {
				w.cuts = append(w.cuts[:i], w.cuts[i+1:]...)
				break
			}
		}
		for _, run := range c.held {
			w.after(w.random.Int64N(5*micros.Millisecond), run)
		}
	})
}

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
	agentCallsInFlight int // direct calls to workers that are out
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
	out := n.core.Step(steady, 1_800_000_000*micros.Second+w.now+n.skew, in...)
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
		w.failovers++
		kept := w.replayedHeartbeats
		w.replayedHeartbeats = nil
		for _, raw := range kept {
			for _, o := range w.nodes {
				w.after(w.random.Int64N(300*micros.Millisecond), func() { o.receiveDuplicate(raw) })
			}
		}
	case l.Message == "all machines reconciled" && len(l.Attributes) == 4:
		if ms, ok := l.Attributes[3].(micros.Time); ok {
			w.longestReconciliation = max(w.longestReconciliation, ms*micros.Millisecond)
		}
	}
	w.observeAdmissionLog(l)
	w.logf("%10.3f %s %s %v", micros.Seconds(w.now), n.name, l.Message, l.Attributes)
}

func (n *node) callStore(c messages.StoreCall) {
	req := protocol.EncodeStoreRequest(c.Request)
	n.w.digest.request(n, "state", req, c.Timeout)
	n.call("store", c.Timeout, func(reply func(int, []byte)) {
		n.w.store.handle(n.name, req, reply)
	}, func(status int, body []byte) {
		r, _ := protocol.DecodeStoreReply(c.Request.Kind, status, body)
		n.step(&messages.StoreCompletion{Call: c.Call, Reply: r})
	})
}

func (n *node) callCloud(c messages.CloudCall) {
	req := protocol.EncodeCloudRequest(&c)
	n.w.digest.request(n, "cloud", req, c.Timeout)
	n.call("cloud", c.Timeout, func(reply func(int, []byte)) {
		n.w.cloud.handle(req, reply)
	}, func(status int, body []byte) {
		r, _ := protocol.DecodeCloudReply(c.Operation, status, body)
		n.step(&messages.CloudCompletion{Call: c.Call, Reply: r})
	})
}

func (n *node) callAgent(c messages.AgentCall) {
	w := n.w
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
				w.startsIntoCuts++
			}
		}
	}
	if n.agentCallsInFlight++; n.agentCallsInFlight > n.config.Sockets().Calls {
		w.breakRule("sockets", "%s: %d calls to workers at once", n.name, n.agentCallsInFlight)
	}
	n.call(target, c.Timeout, func(reply func(int, []byte)) {
		if m == nil || m.gone || !m.booted {
			return
		}
		if c.StatusOnly {
			m.serveStatus(reply)
		} else {
			m.serveCommands(body, reply)
		}
	}, func(status int, body []byte) {
		n.agentCallsInFlight--
		n.step(&messages.AgentCompletion{Call: c.Call, Reply: protocol.DecodeAgent(status, body)})
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
	n.w.send(n.name, o.name, func() {
		if s, err := protocol.DecodePeerStatus(raw); err == nil {
			o.step(s)
		}
	})
}

// call sends a request and hands in the answer, or status 0 after the timeout.
func (n *node) call(to string, timeout micros.Time, handle func(reply func(int, []byte)), done func(int, []byte)) {
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
func (n *node) request(input func(messages.RequestID) messages.Input, then func(messages.Response)) {
	if n.core == nil {
		return
	}
	n.lastRequestID++
	n.pendingRequests[n.lastRequestID] = then
	n.step(input(n.lastRequestID))
}

func (w *World) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// partitionLeader is the node that some machines obey now, for scenarios that aim at it.
func (w *World) partitionLeader() *node {
	best, most := w.nodes[0], -1
	for _, n := range w.nodes {
		if n.core == nil {
			continue
		}
		count := 0
		for _, m := range w.cloud.sorted() {
			if !m.gone && m.controller == n.name {
				count++
			}
		}
		if count > most {
			best, most = n, count
		}
	}
	return best
}
