package scenario

import (
	"encoding/json"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

func (m *machine) heartbeat() []byte {
	m.sequence++
	shards := []map[string]any{}
	for _, id := range m.sortedTaskKeys() {
		t := m.tasks[id]
		s := map[string]any{"shard": t.id, "try": t.attempt, "phase": t.phase}
		if t.phase == "exited" {
			s["cause"] = t.cause
			s["stored"] = t.checkpointed
		}
		shards = append(shards, s)
	}
	r := map[string]any{"host": m.name, "endpoint": m.address, "hull": m.instanceType.name, "berth": m.zone, "loaners": m.spot,
		"tenure": m.agentEpoch, "tick": m.sequence, "warrant": m.fencingToken, "recall_s": nil, "shards": shards, "later_field": 1}
	if m.preemptedAt > 0 {
		r["recall_s"] = micros.Seconds(m.preemptedAt - m.w.now)
	}
	return encode(r)
}

func (m *machine) scheduleHeartbeat(in micros.Time) {
	m.heartbeatTimer++
	n := m.heartbeatTimer
	m.w.after(in, func() {
		if n == m.heartbeatTimer {
			m.run(m.sendHeartbeat)
		}
	})
}

// heartbeatSoon lets a report go out soon.
func (m *machine) heartbeatSoon() {
	if !m.inFlight {
		m.scheduleHeartbeat(max(0, m.lastHeartbeatAt+500*micros.Millisecond-m.w.now))
	}
}

func (m *machine) heartbeatInterval() micros.Time {
	return micros.FromSeconds(m.w.config.Settings.Workers.ReportS * (0.75 + 0.5*m.w.random.Float64()))
}

func (m *machine) sendHeartbeat() {
	if m.inFlight {
		return
	}
	w := m.w
	m.inFlight = true
	m.lastHeartbeatAt = w.now
	sent, epoch, life, over := w.now, m.agentEpoch, m.agentIncarnation, false
	n := w.node(m.controller)
	end := func(status int, body []byte) {
		if over || life != m.agentIncarnation {
			return
		}
		over = true
		m.run(func() { m.receiveReply(sent, epoch, status, body) })
	}
	raw := m.heartbeat()
	w.after(4*micros.Second, func() { end(0, nil) })
	if w.sendHeartbeat != nil {
		w.sendHeartbeat(m, raw, end)
		return
	}
	if m.outboundPartitioned {
		return // the connection is not made
	}
	if w.now < m.replayUntil && len(w.replayedHeartbeats) < 1000 {
		w.replayedHeartbeats = append(w.replayedHeartbeats, raw)
	}
	for range m.duplicates {
		if w.now >= m.duplicateUntil {
			break
		}
		to := w.nodes[w.random.IntN(len(w.nodes))]
		w.after(w.random.Int64N(int64(m.duplicateDelay)), func() { to.receiveDuplicate(raw) })
	}
	w.send(m.name, n.name, func() {
		if !n.up() {
			w.send(n.name, m.name, func() { end(0, nil) })
			return
		}
		rep, err := protocol.ParseHeartbeat(raw)
		if err != nil {
			w.breakRule("bench", "a report cannot be read: %v", err)
			return
		}
		n.request(func(id messages.RequestID) messages.Input {
			return &messages.HeartbeatRequest{Request: id, Heartbeat: rep}
		}, func(a messages.Response) {
			status, body := 503, []byte(nil)
			switch a.Kind {
			case messages.HeartbeatAcknowledged:
				status, body = 200, protocol.EncodeHeartbeatReply(a.FencingToken, a.Commands)
			case messages.HeartbeatRedirected:
				status, body = 421, protocol.EncodeRedirect(a.RedirectTo)
			}
			w.send(n.name, m.name, func() { end(status, body) })
		})
	})
}

func (m *machine) receiveReply(sent micros.Time, epoch uint64, status int, body []byte) {
	m.inFlight = false
	nextNode := func() {
		for i, n := range m.w.nodes {
			if n.name == m.controller {
				m.controller = m.w.nodes[(i+1)%len(m.w.nodes)].name
				break
			}
		}
		m.scheduleHeartbeat(micros.Second)
	}
	switch status {
	case 200:
		var r struct {
			FencingToken uint64         `json:"warrant"`
			Commands     []agentCommand `json:"orders"`
		}
		if json.Unmarshal(body, &r) != nil {
			nextNode()
			return
		}
		m.scheduleHeartbeat(m.heartbeatInterval())
		if r.FencingToken < m.fencingToken || epoch != m.agentEpoch {
			return // dropped; stays with this node
		}
		m.acknowledgedAt = max(m.acknowledgedAt, sent)
		m.observeToken(r.FencingToken)
		m.execute(r.Commands)
	case 421:
		var r struct {
			Controller string `json:"steward"`
		}
		_ = json.Unmarshal(body, &r)
		if r.Controller == "" || r.Controller == m.controller || m.w.node(r.Controller) == nil {
			nextNode()
			return
		}
		m.controller = r.Controller
		m.scheduleHeartbeat(m.w.random.Int64N(500 * micros.Millisecond))
	default:
		nextNode()
	}
}

func (m *machine) observeToken(token uint64) {
	if token > m.fencingToken {
		m.fencingToken = token
		if half := micros.FromSeconds(m.w.config.Settings.Workers.LeaseS / 2); m.tokenAnnouncedAt == 0 || m.w.now-m.tokenAnnouncedAt > half {
			m.tokenAnnouncedAt = m.w.now
			m.heartbeatSoon()
		}
	}
}
