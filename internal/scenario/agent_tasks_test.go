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
