package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/micros"
)

// sendSome sends what waits for machines: what services and cancellations wait for
// first, what machines wait for that did not answer last, and of these another
// first every time.
func (h *holder) sendSome() {
	var rest, failing []*machine
	for _, m := range h.machines {
		switch {
		case len(m.outbox) == 0 || m.calling:
		case m.failed > 0:
			failing = append(failing, m)
		case !slices.ContainsFunc(m.outbox, func(c Command) bool { return c.Operation == Stop || h.isService(c.Job) }):
			rest = append(rest, m)
		case h.c.availableAgentCalls(false) > 0:
			h.send(m)
		}
	}
	for _, m := range rest {
		if h.c.availableAgentCalls(false) <= 0 {
			break
		}
		h.send(m)
	}
	h.turn++
	for i := range failing {
		if h.c.availableAgentCalls(true) <= 0 {
			break
		}
		h.send(failing[(i+h.turn)%len(failing)])
	}
}

func (h *holder) isService(id string) bool {
	j := h.jobs[id]
	return j != nil && j.Kind == bookkeeping.Service
}

// probeSome asks machines for their reports: directly, under our token once its
// session is known, so that a machine acknowledges it. The one asked longest ago
// goes first: many that never answer must not keep the others from being asked.
func (h *holder) probeSome() {
	room := h.c.availableAgentCalls(true)
	if len(h.toProbe) > room {
		slices.SortStableFunc(h.toProbe, func(a, b *machine) int { return cmp.Compare(a.probed, b.probed) })
	}
	for i, m := range h.toProbe {
		if i >= room {
			break
		}
		if m.calling {
			continue
		}
		m.probed = h.c.now
		h.callMachine(m, nil, m.session == 0)
	}
	clear(h.toProbe)
	h.toProbe = h.toProbe[:0]
}

// send sends what waits for a machine.
func (h *holder) send(m *machine) {
	if m.calling || len(m.outbox) == 0 || m.ack != h.token || m.session == 0 || m.addr == "" || h.c.now < m.callAt {
		return
	}
	n := min(len(m.outbox), maxOrders)
	batch := slices.Clone(m.outbox[:n])
	m.outbox = slices.Delete(m.outbox, 0, n)
	for i := range batch {
		a := m.attempts[batch[i].AttemptID]
		if a != nil && batch[i].Operation == Start {
			a.open++
			a.sent = true
		}
	}
	h.callMachine(m, batch, false)
}

func (h *holder) callMachine(m *machine, batch []Command, show bool) {
	m.calling = true
	session, seq, token, sent := m.session, m.seq, h.token, h.c.now
	h.c.callAgent(AgentCall{Machine: m.id, Address: m.addr, FencingToken: token, AgentEpoch: session, Commands: batch, StatusOnly: show,
		Timeout: micros.Second}, func(r *AgentReply) {
		m.calling = false
		if h.c.partitions[h.queue] != h || h.machine(m.id) != m {
			return
		}
		if r.Heartbeat != nil && r.Heartbeat.Machine != m.id {
			r.Heartbeat = nil // an address that another machine has now
			m.addr = ""
		}
		for _, cmd := range batch {
			a := m.attempts[cmd.AttemptID]
			if a == nil || cmd.Operation != Start {
				continue
			}
			a.open--
			if r.Heartbeat == nil && m.session == session {
				a.lost++ // it may still be executed, even minutes later
				m.lostStarts = true
			}
		}
		if r.Heartbeat == nil {
			if m.failed++; m.failed == 1 {
				m.vainAt = sent
			}
			m.callAt = h.c.now + 300*micros.Millisecond<<min(m.failed-1, 3)
			if m.session == session {
				// The same attempts again: repeating them is safe.
				m.outbox = append(h.stillWanted(m, batch), m.outbox...)
			}
			return
		}
		if rep := r.Heartbeat; rep.AgentEpoch < session || (rep.AgentEpoch == session && rep.Sequence <= seq) {
			// Its answer, given after the call, is older than what was known before it.
			h.restarted(m)
			return
		}
		m.seen, m.failed, m.vain = h.c.now, 0, 0
		h.observe(m, r.Heartbeat)
		if show {
			m.probed = 0 // its session is known now: it can be told our token
		}
	})
}

// stillWanted are the commands of a lost batch that are worth sending again.
func (h *holder) stillWanted(m *machine, batch []Command) []Command {
	var out []Command
	for _, cmd := range batch {
		a := m.attempts[cmd.AttemptID]
		if a == nil || a.state == Exited || (cmd.Operation == Start && (a.stop || a.shown)) {
			continue
		}
		out = append(out, cmd)
	}
	return out
}
