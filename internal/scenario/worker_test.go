package scenario

import (
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

type agentTask struct {
	id           string
	attempt      uint64
	phase        string
	cause        string
	checkpointed bool
	job          *userJob
	generation   int
}

// machine is a rented machine with its worker agent.
type machine struct {
	w            *World
	name         string
	address      string
	instanceType *instanceType
	zone         string
	spot         bool
	createdAt    micros.Time
	speed        float64

	booted           bool
	gone             bool
	goneAt           micros.Time
	terminated       bool
	hung             bool
	whenResumed      []func()
	faulty           bool
	commandDelay     micros.Time // commands sent straight to it are delayed by up to this
	preemptedAt      micros.Time // when it is taken; 0: no notice
	agentDown        bool        // between two runs of the worker
	agentIncarnation int         // counts them

	outboundPartitioned bool        // its reports reach nobody
	ignoresKills        bool        // stops have no effect
	replayUntil         micros.Time // reports are kept until then, for the next holder
	duplicates          int         // of every report
	duplicateDelay      micros.Time // copies of its reports come up to this late
	duplicateUntil      micros.Time // reports are copied until then

	agentEpoch       uint64
	sequence         uint64
	fencingToken     uint64
	acknowledgedAt   micros.Time // when the last answered report was sent
	controller       string      // node it reports to
	inFlight         bool
	heartbeatTimer   int // counts report timers
	lastHeartbeatAt  micros.Time
	tokenAnnouncedAt micros.Time // last time a higher token counted as a change
	tasks            map[string]*agentTask
	images           []cachedImage          // most recently used last
	imageArrivals    map[string]micros.Time // images being fetched: when they will be there
}

func (m *machine) boot() {
	if m.gone || m.booted {
		return
	}
	m.booted = true
	m.agentEpoch = 1
	m.acknowledgedAt = m.w.now
	m.controller = m.w.nodes[m.w.random.IntN(len(m.w.nodes))].name
	m.watchLease()
	m.sendHeartbeat()
}

// restart ends the agent and begins it anew under its old name: agent epoch, sequence and
// fencing token start again.
func (m *machine) restart(back micros.Time) {
	if m.gone || !m.booted {
		return
	}
	m.agentDown = true
	m.agentIncarnation++
	m.heartbeatTimer++
	m.tasks, m.images, m.imageArrivals = map[string]*agentTask{}, nil, map[string]micros.Time{}
	m.w.after(back, func() {
		m.agentDown, m.inFlight, m.hung, m.whenResumed = false, false, false, nil
		m.agentEpoch, m.sequence, m.fencingToken, m.tokenAnnouncedAt = 1, 0, 0, 0
		m.acknowledgedAt = m.w.now
		m.controller = m.w.nodes[m.w.random.IntN(len(m.w.nodes))].name
		m.run(m.sendHeartbeat)
	})
}

func (m *machine) vanish() {
	m.gone = true
	m.goneAt = m.w.now
	m.tasks = map[string]*agentTask{}
}

// run runs something on the machine: later, if it hangs.
func (m *machine) run(run func()) {
	if m.gone || m.agentDown {
		return
	}
	if m.hung {
		m.whenResumed = append(m.whenResumed, run)
		return
	}
	m.expireLease()
	run()
}

func (m *machine) hang(length micros.Time) {
	m.hung = true
	m.w.after(length, func() {
		m.hung = false
		late := m.whenResumed
		m.whenResumed = nil
		for _, run := range late {
			m.run(run)
		}
	})
}

// expireLease ends the session if its lease has run out.
func (m *machine) expireLease() {
	if m.w.now-m.acknowledgedAt <= micros.FromSeconds(m.w.config.Settings.Workers.LeaseS) {
		return
	}
	m.tasks = map[string]*agentTask{}
	m.agentEpoch++
	m.sequence = 0
	m.acknowledgedAt = m.w.now
}

func (m *machine) watchLease() {
	m.w.after(100*micros.Millisecond, func() {
		if m.gone {
			return
		}
		if m.agentDown {
			m.watchLease()
			return
		}
		m.expireLease() // a hanging machine can only go on within its lease
		m.watchLease()
	})
}

func (m *machine) sortedTaskKeys() []string {
	out := make([]string, 0, len(m.tasks))
	for id := range m.tasks {
		out = append(out, id)
	}
	if len(out) > 1 {
		sort.Strings(out)
	}
	return out
}

func (m *machine) runsTaskOf(job string) bool {
	for _, t := range m.tasks {
		if strings.HasPrefix(t.id, job+"/") && t.on() {
			return true
		}
	}
	return false
}

// on tells whether the task counts as being on its machine.
func (t *agentTask) on() bool { return t.phase == "running" || t.phase == "saving" }

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

// receiveDuplicate hands in a copy of a report: nobody waits for the answer.
func (n *node) receiveDuplicate(raw []byte) {
	if rep, err := protocol.ParseHeartbeat(raw); err == nil && n.up() {
		n.request(func(id messages.RequestID) messages.Input {
			return &messages.HeartbeatRequest{Request: id, Heartbeat: rep}
		}, func(messages.Response) {})
	}
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

type agentCommand struct {
	Operation    string  `json:"verb"`
	Task         string  `json:"shard"`
	Attempt      uint64  `json:"try"`
	GracePeriodS float64 `json:"wind_down_s"`
}

// deliverCommand delivers what is sent straight to the worker.
func (m *machine) deliverCommand(run func()) {
	if m.commandDelay > 0 {
		m.w.after(m.w.random.Int64N(int64(m.commandDelay)), func() { m.run(run) })
		return
	}
	m.run(run)
}

func (m *machine) serveStatus(reply func(int, []byte)) {
	m.deliverCommand(func() { reply(200, m.heartbeat()) })
}

func (m *machine) serveCommands(body []byte, reply func(int, []byte)) {
	m.deliverCommand(func() {
		var r struct {
			FencingToken *uint64        `json:"warrant"`
			AgentEpoch   *uint64        `json:"tenure"`
			Commands     []agentCommand `json:"orders"`
		}
		if json.Unmarshal(body, &r) != nil || r.FencingToken == nil || r.AgentEpoch == nil {
			reply(400, nil)
			return
		}
		if *r.FencingToken < m.fencingToken || *r.AgentEpoch != m.agentEpoch {
			reply(409, m.heartbeat())
			return
		}
		m.observeToken(*r.FencingToken)
		m.execute(r.Commands)
		reply(200, m.heartbeat())
	})
}

func (m *machine) execute(orders []agentCommand) {
	for _, o := range orders {
		key := o.Task + "#" + strconv.FormatUint(o.Attempt, 10)
		t := m.tasks[key]
		switch o.Operation {
		case "run":
			if t == nil {
				m.startTask(key, o)
			}
		case "kill":
			if t == nil || t.phase == "exited" || m.ignoresKills {
				continue
			}
			if t.phase == "running" && t.job.checkpointInterval > 0 && o.GracePeriodS >= t.job.checkpointS && o.GracePeriodS > 0 {
				t.phase = "saving"
				life := t.generation
				m.w.after(micros.FromSeconds(t.job.checkpointS), func() {
					m.run(func() {
						if m.tasks[key] == t && t.generation == life && t.phase == "saving" {
							t.checkpointed = true
							m.exitTask(t, "stopped")
						}
					})
				})
				continue
			}
			m.exitTask(t, "stopped")
		case "forget":
			if t != nil && t.phase == "exited" {
				delete(m.tasks, key)
			}
		}
	}
}

func (m *machine) exitTask(t *agentTask, cause string) {
	t.phase, t.cause = "exited", cause
	t.generation++
	m.heartbeatSoon()
}

func (m *machine) startTask(key string, o agentCommand) {
	i := strings.LastIndexByte(o.Task, '/')
	n, _ := strconv.Atoi(o.Task[i+1:])
	j := m.w.users.jobs[o.Task[:i]]
	t := &agentTask{id: o.Task, attempt: o.Attempt, phase: "exited", cause: "unknown", job: j}
	m.tasks[key] = t
	defer m.heartbeatSoon()
	if j == nil || n < 0 || n >= j.taskCount || !j.sent {
		return
	}
	cores, ram := m.instanceType.cores-j.cores, m.instanceType.ramGB-j.ram
	for _, id := range m.sortedTaskKeys() { // in order: a sum of fractions depends on it
		other := m.tasks[id]
		if other == t || other.phase == "exited" {
			continue
		}
		if other.id == t.id {
			t.cause = "busy"
			return
		}
		cores -= other.job.cores
		ram -= other.job.ram
	}
	if cores < 0 || ram < 0 {
		t.cause = "no_room"
		return
	}
	t.phase, t.cause = "fetching", ""
	fetch := m.fetchTime(j)
	life := t.generation
	m.w.after(fetch, func() {
		m.run(func() {
			if m.tasks[key] != t || t.generation != life || t.phase != "fetching" {
				return
			}
			m.cacheImage(j)
			t.phase = "running"
			m.w.users.checkStart(m, t, n)
			m.heartbeatSoon()
			m.finishTaskLater(key, t, n)
		})
	})
}

// cachedImage is an image in a machine's cache.
type cachedImage struct {
	name string
	gb   float64
}

// fetchTime is how long a task waits for its image: one fetch serves all that wait.
func (m *machine) fetchTime(j *userJob) micros.Time {
	if slices.ContainsFunc(m.images, func(c cachedImage) bool { return c.name == j.image }) {
		return 0
	}
	if m.imageArrivals[j.image] <= m.w.now {
		m.imageArrivals[j.image] = m.w.now + micros.FromSeconds(j.imageGB/m.instanceType.fetchGBPerSecond)
	}
	return m.imageArrivals[j.image] - m.w.now
}

// cacheImage keeps the images that were used last.
func (m *machine) cacheImage(j *userJob) {
	m.images = slices.DeleteFunc(m.images, func(c cachedImage) bool { return c.name == j.image })
	m.images = append(m.images, cachedImage{j.image, j.imageGB})
	sum := 0.0
	for _, c := range m.images {
		sum += c.gb
	}
	for ; sum > m.instanceType.cacheGB && len(m.images) > 1; m.images = m.images[1:] {
		sum -= m.images[0].gb
	}
}

func (m *machine) finishTaskLater(key string, t *agentTask, n int) {
	j := t.job
	life := t.generation
	length := micros.Time(float64(j.runTime) * m.speed)
	if n%3 == 2 {
		length = micros.Time(float64(length) * j.thirdTaskFactor)
	}
	switch {
	case j.done[n]:
		length = 0
	case m.faulty || j.alwaysFails:
		length = micros.Second
	case j.shape == "service":
		return
	}
	failing := m.faulty || j.alwaysFails
	m.w.after(length, func() {
		m.run(func() {
			if m.tasks[key] != t || t.generation != life || t.phase != "running" {
				return
			}
			if failing && !j.done[n] {
				m.exitTask(t, "error")
				return
			}
			j.done[n] = true
			if u := m.w.users; len(j.done) == j.taskCount && m.w.now < u.cancelUntil && m.w.random.Float64() < u.cancelShare {
				u.cancel(j)
			}
			m.exitTask(t, "done")
		})
	})
}
