package coordination

import (
	"cmp"
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/coordination/fleet"
	"pipitlatch/internal/coordination/plan"
	"pipitlatch/internal/micros"
)

const (
	// planPace bounds how often the timelines are rebuilt.
	planPace = 100 * micros.Millisecond
	// planPart bounds the part of the time that is spent on it: the next plan comes
	// this many times as late as the last one took.
	planPart = 20
	// maxPlanInterval is how often they are rebuilt without a change: estimates of
	// running tasks run out, and slots come due.
	maxPlanInterval = 1000 * micros.Millisecond
	// planTasks bounds the tasks placed in one plan; the rest wait in index order.
	planTasks = 2000
)

// ranked is a job with its place in the order.
type ranked struct {
	j *job
	q *plan.Queued
	plan.Precedence
}

// schedule plans the waiting tasks and starts those whose slot is now.
func (h *holder) schedule() {
	now := h.c.now
	if h.c.catalog == nil || now-h.planAt < h.planPause || (!h.dirty && now-h.planAt < maxPlanInterval) {
		return
	}
	h.planAt, h.dirty = now, false
	h.inherited = nil
	h.c.lastPlanned = h
	clear(h.noRoom)
	h.replicas = 0
	for _, j := range h.jobs {
		if j.Kind == bookkeeping.Service && !j.blocked {
			h.replicas += j.Tasks
		}
	}
	silent := slices.ContainsFunc(h.machines, func(m *machine) bool { return !m.known })
	h.unknownUse = bookkeeping.Resources{}
	for _, m := range h.machines {
		if !m.known && m.kind != nil {
			h.unknownUse = h.unknownUse.Add(m.kind.Capacity)
		}
	}
	if !silent && !h.allKnown {
		h.allKnown = true
		h.c.log(levelInfo, "all machines known", "queue", h.queue, "after_ms", (now-h.taken)/micros.Millisecond)
	}

	h.advanceShares(silent)
	services, arrays := h.rankJobs(silent)
	machines := h.planMachines()
	var needs []fleet.CapacityRequest
	for _, r := range services {
		needs = append(needs, h.placeService(r, machines)...)
	}
	needs = append(needs, h.spare()...)
	h.placeFirst(arrays, machines)
	left := planTasks
	for _, r := range arrays {
		needs = append(needs, h.placeArray(r, machines, &left)...)
	}
	needs = mergeNeeds(needs)
	if len(needs) > 0 && !slices.EqualFunc(needs, h.needs, sameNeed) {
		h.c.statusSoon = true // the leader is to hear of them soon
	}
	h.needs = needs
	if !silent {
		// Jobs that wait for the last silent machine have no needs yet, and will.
		h.returnIdle()
		h.consolidate()
	}
	h.logFleet(services, arrays)
}

// rankJobs are the jobs with tasks that may start, in the order in which they are placed:
// services by priority and age, arrays by the index, after what is guaranteed.
func (h *holder) rankJobs(silent bool) (services, arrays []ranked) {
	now := h.c.now
	var queue []*plan.Queued
	for _, j := range h.order {
		j.est = 0
		if !h.mayStart(j, silent) {
			continue
		}
		r := ranked{j: j, q: h.queued(j)}
		r.Precedence = plan.Precedence{Guaranteed: h.guaranteed(j), Behind: h.behind(j), NearObjective: h.nearObjective(j), Ready: j.ready, Queued: r.q}
		j.wasGuaranteed = j.wasGuaranteed || r.Guaranteed
		if j.Kind == bookkeeping.Service {
			services = append(services, r)
		} else {
			arrays = append(arrays, r)
			queue = append(queue, r.q)
		}
	}
	plan.Rank(queue, now)
	slices.SortStableFunc(services, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.j.Priority, a.j.Priority), cmp.Compare(a.j.ready, b.j.ready))
	})
	slices.SortStableFunc(arrays, func(a, b ranked) int { return a.Precedence.Compare(b.Precedence) })
	return services, arrays
}

// fleetEvery is how often the state of the fleet is logged.
const fleetEvery = 10 * micros.Second

// logFleet tells the operator what the queue's machines do, in CPU.
func (h *holder) logFleet(services, arrays []ranked) {
	if h.c.now-h.fleetAt < fleetEvery {
		return
	}
	h.fleetAt = h.c.now
	waiting := 0
	for _, list := range [][]ranked{services, arrays} {
		for _, r := range list {
			waiting += r.j.waiting.Len()
		}
	}
	for _, spot := range []bool{false, true} {
		var machines, booting, leaving int
		var total, boot, services, running, fetching int64
		for _, m := range h.machines {
			if m.block.Spot != spot || m.kind == nil {
				continue
			}
			machines++
			total += m.kind.Capacity.CPU
			if m.session == 0 {
				booting++
				boot += m.kind.Capacity.CPU
			}
			if m.draining != "" {
				leaving++
			}
			for _, a := range m.attempts {
				switch {
				case a.state == Exited:
				case a.j != nil && a.j.Kind == bookkeeping.Service:
					services += a.need.CPU
				case a.state == Fetching:
					fetching += a.need.CPU
				default:
					running += a.need.CPU
				}
			}
		}
		h.c.log(levelDebug, "fleet", "queue", h.queue, "spot", spot, "machines", machines, "booting", booting, "leaving", leaving, "cpu", total/1000,
			"cpu_booting", boot/1000, "cpu_services", services/1000, "cpu_running", running/1000, "cpu_starting", fetching/1000,
			"tasks_waiting", waiting)
	}
}

// queued is what the index needs of a job's waiting tasks. A job with no
// deadline takes d = arrival + 2p.
func (h *holder) queued(j *job) *plan.Queued {
	p := h.estimate(j)
	after := h.inheritFrom(j.ID)
	q := &plan.Queued{Weight: plan.Weight(max(j.Priority, after.priority)), P: p, Count: j.waiting.Len()}
	due := micros.Max // time of day
	if j.Deadline > 0 {
		due = j.Submitted + j.Deadline
	}
	if due = min(due, after.due); due != micros.Max {
		// A job is done with its slowest task: the slack has to do for that one.
		due -= micros.Time(float64(p) * (h.c.runtimes.TailRatio(j.Class) - 1) / 2)
	} else {
		due = j.ready + 2*p
	}
	q.Due = h.c.now - h.c.wall + due
	return q
}

// trust is how many completed tasks of a job weigh as much as its estimate.
const trust = 2

// estimate is a task's run time as known by now: the owner's estimate, corrected
// by what the class shows, and by the job's own tasks, completed or running
// longer than that. Exception to the design, which takes run times as known.
func (h *holder) estimate(j *job) micros.Time {
	if j.est > 0 && j.estAt == h.planAt {
		return j.est // once a plan
	}
	p := h.c.runtimes.Estimate(j.Job)
	p = (p*trust + j.ran) / micros.Time(trust+j.ranN)
	for _, a := range j.live {
		if a.state == Running && a.running > 0 {
			p = max(p, h.c.now-a.running)
		}
	}
	j.est, j.estAt = p, h.planAt
	return p
}

// planMachines builds the timelines from what runs.
func (h *holder) planMachines() []*plan.Machine {
	now := h.c.now
	var out []*plan.Machine
	for i, m := range h.machines {
		if m.kind == nil || m.pause > now {
			continue
		}
		up := h.usable(m)
		if !up && !h.expected(m) {
			continue
		}
		from := now
		if !up {
			// Boot times vary; one that is overdue is taken to be there soon.
			from = max(now+2*micros.Second, m.added+m.kind.Boot)
		}
		pm := &plan.Machine{Key: i, Type: m.kind, Zone: m.block.Zone, Spot: m.block.Spot, Up: up, Slowness: m.slowness(),
			Line: plan.NewTimeline(from, m.kind.Capacity), Images: m.hasImage}
		if m.block.Spot {
			pm.LossRate = h.c.spot.rate()
		}
		for _, a := range m.attempts { // in any order: the sums are the same
			if a.state == Exited {
				continue
			}
			if a.j != nil && a.j.Kind == bookkeeping.Service {
				pm.Services++
			}
			pm.Line.Reserve(a.need, from, h.remaining(a))
		}
		out = append(out, pm)
	}
	return out
}

// expected tells whether a machine that is not up can be counted on to boot.
func (h *holder) expected(m *machine) bool {
	if m.draining != "" || m.notice != 0 {
		return false
	}
	if m.session != 0 {
		return m.known && !m.expired && h.c.now-m.seen < h.silence() // about to be usable
	}
	return !m.block.Used && !h.zoneLost(m.block.Zone) && h.c.now-m.added < m.kind.Boot*3/2
}

// justBooted tells whether a machine reported for the first time a moment ago, so that
// nothing has reached it yet. The spare room for services counts it: missing for that
// moment, it would be rented once more at every boot, and another be given back.
func (h *holder) justBooted(m *machine) bool {
	return m.draining == "" && m.notice == 0 && m.known && !m.expired && m.booted != 0 && h.c.now-m.booted < h.silence()
}

// remaining is how much longer an attempt is expected to take its room.
func (h *holder) remaining(a *attempt) micros.Time {
	switch {
	case a.stop:
		return a.grace + micros.Second/2
	case a.j == nil:
		return micros.Second
	case a.j.Kind == bookkeeping.Service:
		return plan.Forever
	}
	p := h.estimate(a.j)
	if a.running == 0 {
		return max(p, a.made+a.length-h.c.now)
	}
	// An overdue task is taken to need a part of its estimate more.
	return max(p/4, p-(h.c.now-a.running))
}

// request is the planner's request for one job.
func (h *holder) request(r ranked, count int) *plan.Request {
	j := r.j
	q := &plan.Request{Job: j.Job, Weight: r.q.Weight, P: r.q.P, Due: r.q.Due, Count: count, Now: h.c.now, InZone: map[string]int{}, Pack: h.pack()}
	for _, a := range j.live {
		q.InZone[a.m.block.Zone]++
		if j.OneZone {
			q.Zone = a.m.block.Zone
		}
	}
	return q
}

// allowance is how many more tasks of the job its team's limit allows at once:
// a machine whose tasks are not known counts at its worst.
func (h *holder) allowance(j *job) int {
	t := h.c.teams[j.Team]
	if t == nil {
		return 0
	}
	use := h.usage[j.Team]
	if t.LimitCPU >= 0 || t.LimitGPU >= 0 {
		use = use.Add(h.unknownUse)
	}
	free := bookkeeping.Resources{CPU: 1 << 50, GPU: 1 << 50, Mem: 1 << 50}
	if t.LimitCPU >= 0 {
		free.CPU = t.LimitCPU - use.CPU
	}
	if t.LimitGPU >= 0 {
		free.GPU = t.LimitGPU - use.GPU
	}
	return int(j.Resources.Count(free))
}

// start starts the job's next waiting task on a machine.
func (h *holder) start(j *job, m *machine, length micros.Time) bool {
	t := j.waiting.Next(0)
	if t < 0 || j.live[t] != nil || !h.usable(m) {
		return false
	}
	h.counter++
	a := &attempt{id: AttemptID{j.ID, t, h.token<<20 + h.counter}, m: m, j: j, team: j.Team, need: j.Resources,
		made: h.c.now, length: length, own: true}
	a.remember()
	j.live[t] = a
	j.waiting.Remove(t)
	h.enter(a)
	m.outbox = append(m.outbox, Command{Operation: Start, AttemptID: a.id})
	// Other tasks of the image need not wait for it as long.
	m.useImage(j.Image, j.ImageGB)
	return true
}

func (h *holder) placeService(r ranked, machines []*plan.Machine) []fleet.CapacityRequest {
	j := r.j
	count := min(j.waiting.Len(), h.allowance(j))
	placed := plan.Place(h.request(r, count), machines, func(s plan.Slot) {
		m := h.machines[s.Machine.Key]
		if s.Machine.Up && s.Start <= h.c.now && h.start(j, m, plan.Forever) {
			return
		}
		h.makeRoom(j, s.Start)
	})
	for range count - placed {
		h.makeRoom(j, micros.Max)
	}
	if missing := count - placed; missing > 0 {
		n := h.need(j, missing)
		n.Urgent = true
		return []fleet.CapacityRequest{n}
	}
	return nil
}

// need is what a rental for tasks of the job has to offer.
func (h *holder) need(j *job, count int) fleet.CapacityRequest {
	n := fleet.CapacityRequest{Resources: j.Resources, Count: count, Spot: j.Spot, InstanceTypes: j.InstanceTypes, Zone: j.Zone,
		Service: j.Kind == bookkeeping.Service, Hold: micros.Time(h.c.config.Operator.IdleKeepS) * micros.Second}
	if n.Service {
		n.Hold *= 4
		n.Replicas = h.replicas
	}
	return n
}

func (h *holder) placeArray(r ranked, machines []*plan.Machine, left *int) []fleet.CapacityRequest {
	j := r.j
	now := h.c.now
	allowed := h.allowance(j)
	waiting := j.waiting.Len()
	count := min(waiting, allowed, *left)
	tardy := 0
	by, wanted := h.startBy(r)
	late := 0 // tasks that would start later than an objective wants
	boot := micros.Max
	for _, t := range h.c.catalog {
		if j.AllowsInstanceType(t.Name) && j.Resources.Fits(t.Capacity) {
			boot = min(boot, t.Boot)
		}
	}
	placed := plan.Place(h.request(r, count), machines, func(s plan.Slot) {
		m := h.machines[s.Machine.Key]
		if s.Machine.Up && s.Start <= now {
			h.start(j, m, s.Length)
			return
		}
		if s.Start > by {
			late++
		}
		// A machine rented now helps only tasks that would start after its boot.
		// It is rented before a slot is surely too late: the slots are reckoned with
		// estimates, and a fleet that is rented when these have shown to be too low
		// comes a boot and a backlog too late.
		if s.Start+s.Length*3/2 > r.q.Due && s.Start > now+boot {
			tardy++
		}
	})
	*left -= placed
	if wanted {
		h.reclaim(r, late+count-placed, by, false)
		h.reclaim(r, min(waiting-allowed, *left), by, true)
	}
	short := min(waiting, allowed) - placed + tardy
	if short <= 0 {
		return nil
	}
	// What does not fit in time: so many slots that the waves on new machines end
	// by the deadline, or, if that is over anyway, all at once.
	waves := max(1, min(4, (r.q.Due-now-boot)/max(1, r.q.P)))
	return []fleet.CapacityRequest{h.need(j, (short+int(waves)-1)/int(waves))}
}

func sameNeed(a, b fleet.CapacityRequest) bool {
	return a.Count == b.Count && a.Resources == b.Resources && a.Service == b.Service && a.Urgent == b.Urgent
}

func mergeNeeds(needs []fleet.CapacityRequest) []fleet.CapacityRequest {
	var out []fleet.CapacityRequest
	for _, n := range needs {
		i := slices.IndexFunc(out, func(o fleet.CapacityRequest) bool {
			return o.Resources == n.Resources && o.Spot == n.Spot && o.Zone == n.Zone && o.Service == n.Service && o.Urgent == n.Urgent && slices.Equal(o.InstanceTypes, n.InstanceTypes)
		})
		if i >= 0 {
			out[i].Count += n.Count
		} else if len(out) < 32 {
			out = append(out, n)
		}
	}
	return out
}
