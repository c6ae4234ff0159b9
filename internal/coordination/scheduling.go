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
	// planAnyway is how often they are rebuilt without a change: estimates of
	// running tasks run out, and slots come due.
	planAnyway = 1000 * micros.Millisecond
	// planTasks bounds the tasks placed in one plan; the rest wait in index order.
	planTasks = 2000
)

// ranked is a job with its place in the order.
type ranked struct {
	j *job
	q *plan.Queued
	// guaranteed work does not wait on other teams' borrowed capacity.
	guaranteed bool
	pressed    bool // its class's tasks are to have begun soon
}

// schedule plans the waiting tasks and starts those whose slot is now.
func (h *holder) schedule() {
	now := h.c.now
	if h.c.catalog == nil || now-h.planAt < h.planPause || (!h.dirty && now-h.planAt < planAnyway) {
		return
	}
	h.planAt, h.dirty = now, false
	h.c.planned = h
	clear(h.noRoom)
	h.replicas = 0
	for _, j := range h.jobs {
		if j.Kind == bookkeeping.Service {
			h.replicas += j.Tasks
		}
	}
	silent := slices.ContainsFunc(h.machines, func(m *machine) bool { return !m.known })
	if !silent && !h.knew {
		h.knew = true
		h.c.log(levelInfo, "all machines known", "queue", h.queue, "after_ms", (now-h.taken)/micros.Millisecond)
	}

	var services, arrays []ranked
	var queue []*plan.Queued
	for _, j := range h.order {
		j.est = 0
		if j.waiting.Len() == 0 || j.pause > now {
			continue
		}
		// Tasks of a job older than the lease may run on any machine that is not
		// known yet; nothing of it starts until there is none.
		if silent && j.version < h.since {
			continue
		}
		r := ranked{j, h.queued(j), h.guaranteed(j), h.pressed(j)}
		if j.Kind == bookkeeping.Service {
			services = append(services, r)
		} else {
			arrays = append(arrays, r)
			queue = append(queue, r.q)
		}
	}
	machines := h.planMachines()
	plan.Rank(queue, now)
	slices.SortStableFunc(services, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.j.Priority, a.j.Priority), cmp.Compare(a.j.Submitted, b.j.Submitted))
	})
	slices.SortStableFunc(arrays, func(a, b ranked) int {
		switch {
		case a.guaranteed != b.guaranteed:
			return first(a.guaranteed)
		case a.pressed != b.pressed:
			return first(a.pressed)
		case a.pressed:
			return cmp.Compare(a.j.Submitted, b.j.Submitted)
		}
		return cmp.Compare(b.q.Index, a.q.Index)
	})

	var needs []fleet.Need
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
		h.c.statusUp = true // the leader is to hear of them soon
	}
	h.needs = needs
	if !silent {
		// Jobs that wait for the last silent machine have no needs yet, and will.
		h.returnIdle()
		h.consolidate()
	}
	h.logFleet(services, arrays)
}

// first orders what it is true for before the rest.
func first(is bool) int {
	if is {
		return -1
	}
	return 1
}

// pressed tells whether a job is in the last part of the time within which its
// class's objectives want its tasks begun, or it finished. Exception to the design:
// the index ranks what is long and late behind all that is short, so that under load
// such a job begins last of all, and then long after these times. Past them nothing
// is gained any more, and the index decides again.
func (h *holder) pressed(j *job) bool {
	age := h.c.wall - j.Submitted
	for _, o := range h.c.cfg.Settings.Objectives {
		if o.Class != j.Class {
			continue
		}
		limit := micros.FromSeconds(o.WithinS)
		switch o.Kind {
		case "wait":
		case "finished":
			limit -= micros.Time(float64(h.estimate(j)) * h.c.stats.Spread(j.Class))
		default:
			continue
		}
		if age > limit*8/10 && age < limit {
			return true
		}
	}
	return false
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

// firstPatience is how long a job waits for the start of its first task before
// that task goes ahead of the index.
const firstPatience = 120 * micros.Second

// placeFirst places the first task of the jobs that have waited long for it,
// before all others. Exception to the design: the index ranks what is long and
// late behind all that is short, under load for ever, and every job is to begin.
func (h *holder) placeFirst(arrays []ranked, machines []*plan.Machine) {
	var late []ranked
	for _, r := range arrays {
		j := r.j
		if h.c.wall-j.Submitted > firstPatience && len(j.live) == 0 && j.finishedCount() == 0 {
			late = append(late, r)
		}
	}
	slices.SortStableFunc(late, func(a, b ranked) int { return cmp.Compare(a.j.Submitted, b.j.Submitted) })
	for _, r := range late {
		one := 1
		h.placeArray(r, machines, &one)
	}
}

// queued is what the index needs of a job's waiting tasks. A job with no
// deadline takes d = arrival + 2p.
func (h *holder) queued(j *job) *plan.Queued {
	p := h.estimate(j)
	q := &plan.Queued{Weight: plan.Weight(j.Priority), P: p, Count: j.waiting.Len()}
	age := h.c.wall - j.Submitted
	deadline := j.Deadline
	if deadline == 0 {
		deadline = 2 * p
	}
	q.Due = h.c.now - age + deadline
	if j.Deadline > 0 {
		// A job is done with its slowest task: the slack has to do for that one.
		q.Due -= micros.Time(float64(p) * (h.c.stats.Spread(j.Class) - 1) / 2)
	}
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
	p := h.c.stats.Corrected(j.Job)
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
	return !m.block.Used && h.c.now-m.added < m.kind.Boot*3/2
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
		for _, m := range h.machines {
			if !m.known && m.kind != nil {
				use = use.Add(m.kind.Capacity)
			}
		}
	}
	free := bookkeeping.Resources{CPU: 1 << 50, GPU: 1 << 50, Mem: 1 << 50}
	if t.LimitCPU >= 0 {
		free.CPU = t.LimitCPU - use.CPU
	}
	if t.LimitGPU >= 0 {
		free.GPU = t.LimitGPU - use.GPU
	}
	return int(j.Need.Count(free))
}

// start starts the job's next waiting task on a machine.
func (h *holder) start(j *job, m *machine, length micros.Time) bool {
	t := j.waiting.Next(0)
	if t < 0 || j.live[t] != nil || !h.usable(m) {
		return false
	}
	h.counter++
	a := &attempt{id: AttemptID{j.ID, t, h.token<<20 + h.counter}, m: m, j: j, team: j.Team, need: j.Need,
		made: h.c.now, length: length, own: true}
	m.attempts[a.id] = a
	j.live[t] = a
	j.waiting.Remove(t)
	h.enter(a)
	m.outbox = append(m.outbox, Command{Op: Start, AttemptID: a.id})
	// Other tasks of the image need not wait for it as long.
	m.useImage(j.Image, j.ImageGB)
	return true
}

func (h *holder) placeService(r ranked, machines []*plan.Machine) []fleet.Need {
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
		return []fleet.Need{n}
	}
	return nil
}

// need is what a rental for tasks of the job has to offer.
func (h *holder) need(j *job, count int) fleet.Need {
	n := fleet.Need{Each: j.Need, Count: count, Spot: j.Spot, Types: j.Types, Zone: j.Zone,
		Service: j.Kind == bookkeeping.Service, Hold: micros.Time(h.c.cfg.Operator.IdleKeepS) * micros.Second}
	if n.Service {
		n.Hold *= 4
		n.Replicas = h.replicas
	}
	return n
}

// roomShape is what decides where room can be made for a task without further
// conditions.
type roomShape struct {
	need     bookkeeping.Resources
	priority bookkeeping.Priority
	zone     string
	spot     bool
}

// makeRoom stops work of lower priority for a task that otherwise would wait
// until a time, and starts the task in its place. Exception to the design: the
// paper's tasks are not preempted, but services must not wait for arrays.
func (h *holder) makeRoom(j *job, until micros.Time) bool {
	now := h.c.now
	if until-now < micros.Second || j.waiting.Len() == 0 {
		return false
	}
	// What found no room in this plan finds none again: many services alike wait.
	shape := roomShape{j.Need, j.Priority, j.Zone, j.Spot}
	plain := len(j.Types) == 0 && !j.OneZone && !j.Spread
	if plain && h.noRoom[shape] {
		return false
	}
	var best *machine
	var victims []*attempt
	bestCost := 0.0
	for _, m := range h.machines {
		if m.kind == nil || !h.usable(m) || m.pause > now || !j.AllowsType(m.block.Type) || (j.Zone != "" && j.Zone != m.block.Zone) ||
			(m.block.Spot && !j.Spot) || !h.zoneAllows(j, m.block.Zone) {
			continue
		}
		free := m.kind.Capacity
		var lower []*attempt
		for _, id := range sortedAttempts(m) {
			a := m.attempts[id]
			if a.state == Exited {
				continue
			}
			free = free.Sub(a.need)
			if a.j != nil && a.j.Priority < j.Priority && !a.stop {
				lower = append(lower, a)
			}
		}
		// The least work lost first.
		slices.SortStableFunc(lower, func(a, b *attempt) int { return cmp.Compare(h.lost(a), h.lost(b)) })
		cost := 0.0
		var take []*attempt
		for _, a := range lower {
			if j.Need.Fits(free) {
				break
			}
			free = free.Add(a.need)
			cost += micros.Seconds(h.lost(a)) + 1
			take = append(take, a)
		}
		if !j.Need.Fits(free) {
			continue
		}
		if !m.hasImage(j.Image) && m.kind.FetchGBps > 0 {
			cost += 20 * j.ImageGB / m.kind.FetchGBps
		}
		if best == nil || cost < bestCost {
			best, victims, bestCost = m, take, cost
		}
	}
	if best == nil {
		if plain {
			h.noRoom[shape] = true
		}
		return false
	}
	saves := false
	for _, a := range victims {
		grace := micros.Time(0)
		if a.j.CheckpointEvery > 0 {
			grace, saves = a.j.SaveTime, true
		}
		h.stop(a, grace)
	}
	if !saves {
		// Commands are executed in order: the room is there when the start comes.
		return h.start(j, best, plan.Forever)
	}
	return true
}

// lost is the work that stopping an attempt loses.
func (h *holder) lost(a *attempt) micros.Time {
	if a.running == 0 {
		return 0
	}
	run := h.c.now - a.running
	if a.j.CheckpointEvery > 0 {
		return a.j.SaveTime
	}
	return run
}

func (h *holder) zoneAllows(j *job, zone string) bool {
	n := 0
	for _, a := range j.live {
		if a.m.block.Zone == zone {
			n++
		} else if j.OneZone {
			return false
		}
	}
	return !j.Spread || n < j.SpreadLimit()
}

func (h *holder) placeArray(r ranked, machines []*plan.Machine, left *int) []fleet.Need {
	j := r.j
	now := h.c.now
	allowed := h.allowance(j)
	waiting := j.waiting.Len()
	count := min(waiting, allowed, *left)
	tardy := 0
	boot := micros.Max
	for _, t := range h.c.catalog {
		if j.AllowsType(t.Name) && j.Need.Fits(t.Capacity) {
			boot = min(boot, t.Boot)
		}
	}
	placed := plan.Place(h.request(r, count), machines, func(s plan.Slot) {
		m := h.machines[s.Machine.Key]
		if s.Machine.Up && s.Start <= now {
			h.start(j, m, s.Length)
			return
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
	short := min(waiting, allowed) - placed + tardy
	if short <= 0 {
		return nil
	}
	// What does not fit in time: so many slots that the waves on new machines end
	// by the deadline, or, if that is over anyway, all at once.
	waves := max(1, min(4, (r.q.Due-now-boot)/max(1, r.q.P)))
	return []fleet.Need{h.need(j, (short+int(waves)-1)/int(waves))}
}

// guaranteed tells whether the job fits into its team's guarantee with all that
// the team runs: such work need not wait on other teams. Exception to the design,
// whose index knows no teams: it comes before what teams borrow.
func (h *holder) guaranteed(j *job) bool {
	t := h.c.teams[j.Team]
	return t != nil && t.GuaranteeCPU+t.GuaranteeG > 0 && t.Guaranteed(h.usage[j.Team].Add(j.Need.Times(int64(j.waiting.Len()))))
}

// spare asks for room to take up the services of the machine that holds most of
// them, and some growth, at once: free room, or room that arrays can be stopped
// for. Exception to the design, which plans for tasks that are there.
func (h *holder) spare() []fleet.Need {
	kind, missing := h.spareMissing(nil, true)
	if missing > 0 {
		return []fleet.Need{h.need(kind, missing)}
	}
	m := h.oversized(kind)
	if m == nil {
		return nil
	}
	// Room on smaller machines for what keeps a dear one busy: once it is there,
	// consolidate gives the dear one up.
	if _, missing = h.spareMissing(m, true); missing <= 0 {
		return nil
	}
	n := h.need(kind, missing)
	n.Types = nil
	for _, name := range sortedKeys(h.c.catalog) {
		if h.c.catalog[name].Capacity.CPU < m.kind.Capacity.CPU && kind.AllowsType(name) {
			n.Types = append(n.Types, name)
		}
	}
	return []fleet.Need{n}
}

// oversized finds a machine that is kept for so few replicas that smaller ones
// would do for much less, and that the arrays do not need.
func (h *holder) oversized(kind *job) *machine {
	if kind == nil {
		return nil
	}
	arrays, services, capacity := h.cpuLoad()
	var worst *machine
	for _, m := range h.machines {
		if m.kind == nil || m.block.Spot || !h.usable(m) || h.c.now-m.added < settled {
			continue
		}
		replicas := 0
		room := m.kind.Capacity.CPU
		for _, a := range m.attempts {
			if a.state != Exited && a.j != nil && a.j.Kind == bookkeeping.Service {
				replicas++
				room -= a.need.CPU
			}
		}
		if max(arrays, h.load) > (capacity-services-room)*8/10 {
			continue
		}
		for _, t := range h.c.catalog {
			slots := int(kind.Need.Count(t.Capacity))
			if replicas == 0 || slots == 0 || t.Capacity.CPU >= m.kind.Capacity.CPU || !kind.AllowsType(t.Name) {
				continue
			}
			instead := float64((replicas+slots)/slots) * t.Price
			if m.kind.Price-instead >= h.cheapest() && (worst == nil || m.kind.Price > worst.kind.Price) {
				worst = m
			}
		}
	}
	return worst
}

// cheapest is the lowest price of an ordinary machine.
func (h *holder) cheapest() float64 {
	lowest := 0.0
	for _, t := range h.c.catalog {
		if lowest == 0 || t.Price < lowest {
			lowest = t.Price
		}
	}
	return lowest
}

// cpuLoad is the CPU that arrays and services use, and all there is, on usable
// machines.
func (h *holder) cpuLoad() (arrays, services, capacity int64) {
	for _, m := range h.machines {
		if m.kind == nil || !h.usable(m) {
			continue
		}
		capacity += m.kind.Capacity.CPU
		for _, a := range m.attempts {
			switch {
			case a.state == Exited:
			case a.j != nil && a.j.Kind == bookkeeping.Service:
				services += a.need.CPU
			default:
				arrays += a.need.CPU
			}
		}
	}
	return arrays, services, capacity
}

// spareMissing is how much room for replicas, like those of the returned job, is
// missing: if without is given, after its replicas have moved elsewhere. Machines
// that still boot count if booting is set.
func (h *holder) spareMissing(without *machine, booting bool) (*job, int) {
	replicas := 0
	var kind *job
	perMachine := map[*machine]int{}
	for _, j := range h.order {
		if j.Kind != bookkeeping.Service {
			continue
		}
		for _, a := range j.live {
			replicas++
			perMachine[a.m]++
		}
		if kind == nil || j.Need.CPU > kind.Need.CPU {
			kind = j
		}
	}
	if kind == nil {
		return nil, 0
	}
	growth := (replicas*int(h.c.cfg.Operator.SparePercent)+99)/100 + 1
	moving := perMachine[without] // 0 if without is nil
	room := 0
	roomOn := map[*machine]int{}
	for _, m := range h.machines {
		if m == without || m.kind == nil || m.block.Spot && !kind.Spot || !kind.AllowsType(m.block.Type) ||
			(kind.Zone != "" && kind.Zone != m.block.Zone) || (!h.usable(m) && (!booting || !h.expected(m))) {
			continue
		}
		free := m.kind.Capacity
		for _, a := range m.attempts {
			if a.state != Exited && (a.j == nil || a.j.Priority >= kind.Priority) {
				free = free.Sub(a.need)
			}
		}
		roomOn[m] = int(kind.Need.Count(free))
		room += roomOn[m]
	}
	missing := growth + moving - room
	for m, n := range perMachine {
		if m != without {
			// What this machine has must fit on the others.
			missing = max(missing, n+moving-(room-roomOn[m]))
		}
	}
	return kind, missing
}

const (
	// settled is how long a machine is kept before it can be given up: it costs a
	// minute anyway.
	settled = 60 * micros.Second
	// movePace bounds how often a replica is moved: each is away for a moment.
	movePace = 3 * micros.Second
	// maxLeaving is how many machines are given up at a time.
	maxLeaving = 3
	// imagePatience is how long a move off a dear machine waits for a machine that
	// has the image.
	imagePatience = 15 * micros.Second
)

// consolidate gives up machines whose services fit elsewhere, spare room included,
// while the arrays do not need them, those first that cost most a replica: such a
// machine takes no more tasks, its arrays end, its replicas move one by one.
// Exception to the design, which never gives a machine up while something runs
// there.
func (h *holder) consolidate() {
	now := h.c.now
	leaving := 0
	for _, m := range h.machines {
		if m.draining == "surplus" {
			h.moveOff(m)
			if replicasOn(m) > 0 {
				leaving++ // one that waits for its arrays to end holds up no others
			}
		}
	}
	most := max(maxLeaving, len(h.machines)/8)
	if leaving >= most || now-h.mergedAt < movePace || now-h.taken < 10*micros.Second {
		return
	}
	h.mergedAt = now
	// What arrays used of late is remembered for a minute where one of them can fill
	// the fleet, and for less the larger the fleet: a single one counts less there.
	arrays, services, capacity := h.cpuLoad()
	h.load = max(arrays, h.load-(h.load-arrays)/int64(max(4, min(20, 640/max(1, len(h.machines))))))
	type surplus struct {
		m    *machine
		cost float64 // a replica
	}
	var list []surplus
	for _, m := range h.machines {
		if m.kind == nil || m.block.Spot || !h.usable(m) || now-m.added < settled || m.idle != 0 {
			continue
		}
		list = append(list, surplus{m, m.kind.Price / float64(max(1, replicasOn(m)))})
	}
	slices.SortStableFunc(list, func(a, b surplus) int { return cmp.Compare(b.cost, a.cost) })
	for _, s := range list {
		m := s.m
		if leaving >= most {
			return
		}
		if h.load > (capacity-m.kind.Capacity.CPU-services)*8/10 ||
			slices.ContainsFunc(h.needs, func(n fleet.Need) bool {
				return !n.Service && n.Allows(fleet.Offer{Type: m.block.Type, Zone: m.block.Zone})
			}) {
			continue
		}
		if _, missing := h.spareMissing(m, false); missing > 0 {
			continue
		}
		h.drain(m, "surplus")
		capacity -= m.kind.Capacity.CPU
		leaving++
	}
}

// replicasOn is how many replicas a machine has.
func replicasOn(m *machine) int {
	n := 0
	for _, a := range m.attempts {
		if a.state != Exited && a.j != nil && a.j.Kind == bookkeeping.Service {
			n++
		}
	}
	return n
}

// moveOff moves the next replica off a machine, to one that has its image.
func (h *holder) moveOff(m *machine) {
	pace := movePace / 2 / micros.Time(max(1, h.pack()))
	if h.c.now-h.movedAt < pace || m.ack != h.token {
		return
	}
	// A replica is away for as long as its image takes to arrive: a dear machine is
	// worth that, others wait for room where the image is.
	bare := h.c.now-m.drainAt > imagePatience && m.kind.Price > 3*h.cheapest()
	for _, id := range sortedAttempts(m) {
		a := m.attempts[id]
		if a.state != Running || a.stop || a.j == nil || a.j.Kind != bookkeeping.Service {
			continue
		}
		for _, o := range h.machines {
			if o.kind == nil || !h.usable(o) || o.block.Spot && !a.j.Spot || (!o.hasImage(a.j.Image) && !bare) || !a.j.AllowsType(o.block.Type) ||
				(a.j.Zone != "" && a.j.Zone != o.block.Zone) || a.j.OneZone || a.j.Spread || !a.need.Fits(h.free(o)) {
				continue
			}
			h.movedAt = h.c.now
			h.stop(a, a.j.SaveTime)
			return
		}
	}
}

// free is the room a machine has now.
func (h *holder) free(m *machine) bookkeeping.Resources {
	free := m.kind.Capacity
	for _, a := range m.attempts {
		if a.state != Exited {
			free = free.Sub(a.need)
		}
	}
	return free
}

// packShare is the part of all replicas that may be lost with one machine: below
// it they are packed, so that machines become free when the arrays end; above it
// they are spread. Exception to the design, whose gaps know no machines that end.
const packShare = 16

// pack is how many replicas a machine takes before others are preferred.
func (h *holder) pack() int { return h.replicas / packShare }

func sameNeed(a, b fleet.Need) bool {
	return a.Count == b.Count && a.Each == b.Each && a.Service == b.Service && a.Urgent == b.Urgent
}

func mergeNeeds(needs []fleet.Need) []fleet.Need {
	var out []fleet.Need
	for _, n := range needs {
		i := slices.IndexFunc(out, func(o fleet.Need) bool {
			return o.Each == n.Each && o.Spot == n.Spot && o.Zone == n.Zone && o.Service == n.Service && o.Urgent == n.Urgent && slices.Equal(o.Types, n.Types)
		})
		if i >= 0 {
			out[i].Count += n.Count
		} else if len(out) < 32 {
			out = append(out, n)
		}
	}
	return out
}

// returnPatience is how long the deletion of an idle machine takes at most while
// the cloud is well.
const returnPatience = 5 * micros.Second

const (
	// idleReserve is how many idle machines are kept for the usual time at least.
	idleReserve = 4
	// surplusKeep is how long those beyond the reserve are kept.
	surplusKeep = 5 * micros.Second
)

// returnIdle gives machines back that have had no task for a while and are not
// part of the spare room for services.
func (h *holder) returnIdle() {
	kind, _ := h.spareMissing(nil, true)
	large := h.oversized(kind)
	for _, m := range h.machines {
		if m.draining == "idle" && h.c.now-m.drainAt > returnPatience {
			// The cloud does not take them back now: what is drained serves nobody.
			return
		}
	}
	// Of many that are idle only a reserve is worth the usual time.
	var idle []micros.Time
	for _, m := range h.machines {
		if h.usable(m) && m.idle != 0 {
			idle = append(idle, m.idle)
		}
	}
	slices.Sort(idle)
	surplus := micros.Time(0) // idle since before then: beyond the reserve
	if n := len(idle) - max(idleReserve, len(h.machines)/8); n > 0 {
		surplus = idle[n-1]
	}
	for _, m := range h.machines {
		keep := micros.Time(h.c.cfg.Operator.IdleKeepS) * micros.Second
		if !m.block.Spot {
			keep /= 3 // ordinary machines cost more; arrays mostly need not wait for them
			if large != nil && m.kind != nil && m.kind.Capacity.CPU < large.kind.Capacity.CPU {
				// It is there to take over from the large one once the others rented
				// for that have booted; returned before, it would be rented anew, and
				// the large one never be given up.
				keep = 3 * m.kind.Boot
			}
		}
		if m.idle <= surplus {
			keep = min(keep, surplusKeep)
		}
		if !h.usable(m) || m.idle == 0 || h.c.now-m.idle < keep || !h.empty(m) ||
			slices.ContainsFunc(h.needs, func(n fleet.Need) bool {
				return n.Allows(fleet.Offer{Type: m.block.Type, Zone: m.block.Zone, Spot: m.block.Spot})
			}) {
			continue
		}
		m.draining = "idle"
		if len(h.spare()) > 0 {
			m.draining = ""
			continue
		}
		m.draining = ""
		h.drain(m, "idle")
	}
}
