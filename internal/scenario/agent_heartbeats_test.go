package scenario

import (
	"encoding/json"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// heartbeat is the next heartbeat on the wire, with a field that no controller knows.
func (m *machine) heartbeat() []byte {
	m.agent.sequence++
	tasks := []map[string]any{}
	for _, key := range m.sortedTaskKeys() {
		t := m.tasks[key]
		task := map[string]any{"shard": t.id, "try": t.attempt, "phase": t.phase}
		if t.phase == "exited" {
			task["cause"] = t.cause
			task["stored"] = t.checkpointed
		}
		tasks = append(tasks, task)
	}
	r := map[string]any{
		"host": m.name, "endpoint": m.address, "hull": m.instanceType.name, "berth": m.zone, "loaners": m.spot,
		"tenure": m.agent.epoch, "tick": m.agent.sequence, "warrant": m.agent.fencingToken,
		"recall_s": nil, "shards": tasks, "later_field": 1,
	}
	if m.faults.preemptedAt > 0 {
		r["recall_s"] = micros.Seconds(m.faults.preemptedAt - m.w.now)
	}
	return encode(r)
}

func (m *machine) scheduleHeartbeat(in micros.Time) {
	m.heartbeats.timer++
	n := m.heartbeats.timer
	m.w.after(in, func() {
		if n == m.heartbeats.timer {
			m.run(m.sendHeartbeat)
		}
	})
}

// heartbeatSoon sends a heartbeat soon: something changed.
func (m *machine) heartbeatSoon() {
	if !m.heartbeats.inFlight {
		m.scheduleHeartbeat(max(0, m.heartbeats.lastAt+500*micros.Millisecond-m.w.now))
	}
}

func (m *machine) heartbeatInterval() micros.Time {
	return micros.FromSeconds(m.w.config.Settings.Workers.ReportS * (0.75 + 0.5*m.w.random.Float64()))
}

// sendHeartbeat sends a heartbeat to the controller that the agent knows; it counts as
// unanswered after four seconds.
func (m *machine) sendHeartbeat() {
	if m.heartbeats.inFlight {
		return
	}
	w := m.w
	m.heartbeats.inFlight = true
	m.heartbeats.lastAt = w.now
	sent, epoch, incarnation, over := w.now, m.agent.epoch, m.agent.incarnation, false
	to := w.node(m.heartbeats.controller)
	end := func(status int, body []byte) {
		if over || incarnation != m.agent.incarnation {
			return
		}
		over = true
		m.run(func() { m.receiveReply(sent, epoch, status, body) })
	}
	raw := m.heartbeat()
	w.after(4*micros.Second, func() { end(0, nil) })
	if w.loopback.sendHeartbeat != nil {
		w.loopback.sendHeartbeat(m, raw, end)
		return
	}
	if m.faults.outboundPartitioned {
		return // the connection is not made
	}
	m.duplicate(raw)
	w.send(m.name, to.name, func() { to.receiveHeartbeat(m, raw, end) })
}

// heartbeatReply is the answer to a heartbeat on the wire.
func heartbeatReply(a *messages.Response) (int, []byte) {
	switch a.Kind {
	case messages.HeartbeatAcknowledged:
		return 200, protocol.EncodeHeartbeatReply(a.FencingToken, a.Commands)
	case messages.HeartbeatRedirected:
		return 421, protocol.EncodeRedirect(a.RedirectTo)
	case messages.ServiceUnavailable, messages.Overloaded, messages.JobAccepted, messages.JobFound,
		messages.RequestMalformed, messages.JobUnschedulable, messages.JobNotFound:
		return 503, nil
	}
	return 503, nil
}

// duplicate keeps a heartbeat for the next partition leader and sends late copies, if the
// machine's faults want it.
func (m *machine) duplicate(raw []byte) {
	w := m.w
	if w.now < m.faults.replayUntil && len(w.observed.replayedHeartbeats) < 1000 {
		w.observed.replayedHeartbeats = append(w.observed.replayedHeartbeats, raw)
	}
	for range m.faults.duplicates {
		if w.now >= m.faults.duplicateUntil {
			break
		}
		to := w.nodes[w.random.IntN(len(w.nodes))]
		w.after(w.random.Int64N(int64(m.faults.duplicateDelay)), func() { to.receiveDuplicate(raw) })
	}
}

// receiveHeartbeat hands a heartbeat in and sends the answer back to its machine.
func (n *node) receiveHeartbeat(m *machine, raw []byte, end replyFunc) {
	w := n.w
	if !n.up() {
		w.send(n.name, m.name, func() { end(0, nil) })
		return
	}
	w.observed.load.heartbeats++
	heartbeat, err := protocol.ParseHeartbeat(raw)
	if err != nil {
		w.breakRule("bench", "a heartbeat cannot be read: %v", err)
		return
	}
	n.request(func(id messages.RequestID) messages.Input {
		return &messages.HeartbeatRequest{Request: id, Heartbeat: heartbeat}
	}, func(a messages.Response) {
		status, body := heartbeatReply(&a)
		w.send(n.name, m.name, func() { end(status, body) })
	})
}

// receiveReply takes the answer to a heartbeat that was sent in an agent epoch; status 0: none.
func (m *machine) receiveReply(sent micros.Time, epoch uint64, status int, body []byte) {
	m.heartbeats.inFlight = false
	switch status {
	case 200:
		m.receiveCommands(sent, epoch, body)
	case 421:
		m.followRedirect(body)
	default:
		m.tryNextController()
	}
}

// tryNextController has the next heartbeat go to another controller.
func (m *machine) tryNextController() {
	for i, n := range m.w.nodes {
		if n.name == m.heartbeats.controller {
			m.heartbeats.controller = m.w.nodes[(i+1)%len(m.w.nodes)].name
			break
		}
	}
	m.scheduleHeartbeat(micros.Second)
}

func (m *machine) receiveCommands(sent micros.Time, epoch uint64, body []byte) {
	var r struct {
		FencingToken uint64         `json:"warrant"`
		Commands     []agentCommand `json:"orders"`
	}
	if json.Unmarshal(body, &r) != nil {
		m.tryNextController()
		return
	}
	m.scheduleHeartbeat(m.heartbeatInterval())
	if r.FencingToken < m.agent.fencingToken || epoch != m.agent.epoch {
		return // dropped; stays with this node
	}
	m.agent.acknowledgedAt = max(m.agent.acknowledgedAt, sent)
	m.observeToken(r.FencingToken)
	m.execute(r.Commands)
}

func (m *machine) followRedirect(body []byte) {
	var r struct {
		Controller string `json:"steward"`
	}
	err := json.Unmarshal(body, &r)
	if err != nil || r.Controller == "" || r.Controller == m.heartbeats.controller || m.w.node(r.Controller) == nil {
		m.tryNextController()
		return
	}
	m.heartbeats.controller = r.Controller
	m.scheduleHeartbeat(m.w.random.Int64N(500 * micros.Millisecond))
}

// observeToken takes a higher fencing token; that is a change, which is reported, but not more
// often than once in half a lease.
func (m *machine) observeToken(token uint64) {
	if token <= m.agent.fencingToken {
		return
	}
	m.agent.fencingToken = token
	halfLease := micros.FromSeconds(m.w.config.Settings.Workers.LeaseS / 2)
	if m.agent.tokenAnnouncedAt == 0 || m.w.now-m.agent.tokenAnnouncedAt > halfLease {
		m.agent.tokenAnnouncedAt = m.w.now
		m.heartbeatSoon()
	}
}
