package scenario

import (
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"

	"pipitlatch/internal/micros"
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

// on tells whether the task counts as being on its machine.
func (t *agentTask) on() bool { return t.phase == "running" || t.phase == "saving" }

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

type agentCommand struct {
	Operation    string  `json:"verb"`
	Task         string  `json:"shard"`
	Attempt      uint64  `json:"try"`
	GracePeriodS float64 `json:"wind_down_s"`
}

// deliverCommand delivers what is sent straight to the agent.
func (m *machine) deliverCommand(run func()) {
	if m.faults.commandDelay > 0 {
		m.w.after(m.w.random.Int64N(int64(m.faults.commandDelay)), func() { m.run(run) })
		return
	}
	m.run(run)
}

func (m *machine) serveStatus(reply replyFunc) {
	m.deliverCommand(func() { reply(200, m.heartbeat()) })
}

func (m *machine) serveCommands(body []byte, reply replyFunc) {
	m.deliverCommand(func() {
		m.handleCommands(body, reply)
		m.repeatLater(body)
	})
}

// repeatLater has a call that was answered arrive once more, if the machine's faults want it. Nobody waits
// for that answer.
func (m *machine) repeatLater(body []byte) {
	if m.w.now >= m.faults.repeatUntil {
		return
	}
	m.w.after(m.w.random.Int64N(int64(m.faults.repeatDelay)), func() {
		m.run(func() { m.handleCommands(body, func(int, []byte) {}) })
	})
}

// handleCommands executes the commands of a call if its fencing token and agent epoch match.
func (m *machine) handleCommands(body []byte, reply replyFunc) {
	var r struct {
		FencingToken *uint64        `json:"warrant"`
		AgentEpoch   *uint64        `json:"tenure"`
		Commands     []agentCommand `json:"orders"`
	}
	if json.Unmarshal(body, &r) != nil || r.FencingToken == nil || r.AgentEpoch == nil {
		reply(400, nil)
		return
	}
	if *r.FencingToken < m.agent.fencingToken || *r.AgentEpoch != m.agent.epoch {
		reply(409, m.heartbeat())
		return
	}
	m.observeToken(*r.FencingToken)
	m.execute(r.Commands)
	reply(200, m.heartbeat())
}

// execute carries commands out, each once.
func (m *machine) execute(commands []agentCommand) {
	for _, c := range commands {
		key := c.Task + "#" + strconv.FormatUint(c.Attempt, 10)
		t := m.tasks[key]
		switch c.Operation {
		case "run":
			if t == nil {
				m.startTask(key, c)
			}
		case "kill":
			if t != nil && t.phase != "exited" && !m.faults.ignoresKills {
				m.killTask(key, t, c.GracePeriodS)
			}
		case "forget":
			if t != nil && t.phase == "exited" {
				delete(m.tasks, key)
			}
		}
	}
}

// killTask stops a task: at once, or after a checkpoint if it can make one within its grace period.
func (m *machine) killTask(key string, t *agentTask, gracePeriodS float64) {
	e := t.job.execution
	if t.phase != "running" || e.checkpointInterval <= 0 || gracePeriodS < e.checkpointS || gracePeriodS <= 0 {
		m.exitTask(t, "stopped")
		return
	}
	t.phase = "saving"
	generation := t.generation
	m.w.after(micros.FromSeconds(e.checkpointS), func() {
		m.run(func() {
			if m.tasks[key] == t && t.generation == generation && t.phase == "saving" {
				t.checkpointed = true
				m.exitTask(t, "stopped")
			}
		})
	})
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
	if j == nil || n < 0 || n >= j.spec.taskCount || !j.requests.sent {
		return
	}
	cores, ram := m.instanceType.cores-j.spec.cores, m.instanceType.ramGB-j.spec.ram
	for _, id := range m.sortedTaskKeys() { // in order: a sum of fractions depends on it
		other := m.tasks[id]
		if other == t || other.phase == "exited" {
			continue
		}
		if other.id == t.id {
			t.cause = "busy"
			return
		}
		cores -= other.job.spec.cores
		ram -= other.job.spec.ram
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
			m.w.users.checkStart(m, t)
			m.heartbeatSoon()
			m.finishTaskLater(key, t, n)
		})
	})
}

func (m *machine) finishTaskLater(key string, t *agentTask, n int) {
	j := t.job
	life := t.generation
	length := micros.Time(float64(j.execution.runTime) * m.speed)
	if n%3 == 2 {
		length = micros.Time(float64(length) * j.execution.thirdTaskFactor)
	}
	switch {
	case j.observed.done[n]:
		length = 0
	case m.faults.faulty || j.execution.alwaysFails:
		length = micros.Second
	case j.spec.shape == "service":
		return
	}
	failing := m.faults.faulty || j.execution.alwaysFails
	m.w.after(length, func() {
		m.run(func() {
			if m.tasks[key] != t || t.generation != life || t.phase != "running" {
				return
			}
			if failing && !j.observed.done[n] {
				m.exitTask(t, "error")
				return
			}
			j.observed.done[n] = true
			u, last := m.w.users, len(j.observed.done) == j.spec.taskCount
			if last && m.w.now < u.cancelUntil && m.w.random.Float64() < u.cancelShare {
				u.cancel(j)
			}
			m.exitTask(t, "done")
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
	if slices.ContainsFunc(m.cache.images, func(c cachedImage) bool { return c.name == j.spec.image }) {
		return 0
	}
	if m.cache.arrivals[j.spec.image] <= m.w.now {
		m.cache.arrivals[j.spec.image] = m.w.now + micros.FromSeconds(j.spec.imageGB/m.instanceType.fetchGBPerSecond)
	}
	return m.cache.arrivals[j.spec.image] - m.w.now
}

// cacheImage keeps the images that were used last.
func (m *machine) cacheImage(j *userJob) {
	m.cache.images = slices.DeleteFunc(m.cache.images, func(c cachedImage) bool { return c.name == j.spec.image })
	m.cache.images = append(m.cache.images, cachedImage{j.spec.image, j.spec.imageGB})
	sum := 0.0
	for _, c := range m.cache.images {
		sum += c.gb
	}
	for ; sum > m.instanceType.cacheGB && len(m.cache.images) > 1; m.cache.images = m.cache.images[1:] {
		sum -= m.cache.images[0].gb
	}
}
