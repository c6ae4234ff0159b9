package coordination

import (
	"cmp"
	"maps"
	"slices"

	"pipitlatch/internal/bookkeeping"
	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/fleet"
	"pipitlatch/internal/coordination/lease"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// tickEvery is how often timers are looked at.
	tickEvery = 50 * micros.Millisecond
	// tickSoon is how long after the last look they are looked at anew when there
	// was input: with hundreds of machines a look at every input would be all that
	// a controller does.
	tickSoon = 20 * micros.Millisecond
)

// Core is the state machine of one controller.
type Core struct {
	cfg   *config.Config
	proc  storage.Process
	teams map[string]*bookkeeping.Team
	keys  storage.Keys

	now, wall micros.Time
	born      micros.Time
	tickAt    micros.Time
	out       *Output

	nextCall uint64
	pending  map[uint64]func(any)

	catalog   bookkeeping.Catalog
	catalogAt micros.Time
	catalogOn bool // a call is out
	// The state service keeps the machine types too, see keepCatalog.
	catalogOwn   bool // the cloud told us
	catalogSave  bool // a write is out
	catalogSaved micros.Time

	budget     *storage.RateLimiter
	rejected   rejections // transactions that the state service calls invalid
	workerOut  int        // direct calls to workers that are out
	workerMost int        // how many may be, for lack of sockets
	session
	barrier
	holders   map[int]*holder
	ends      map[storage.Process]micros.Time // when a process was first known dead
	peers     map[string]*peerView
	cancelled cancellations
	lists     int                          // of needed jobs that were stored in parts
	archive   map[string]*storage.JobEntry // records read from there
	progress  map[string]JobProgress
	// progressKept is how many entries of progress were left when it was last bounded.
	progressKept int
	leader       leaderState
	stats        *bookkeeping.RuntimeStats
	faults       *fleet.FaultTracker
	spot         spotLosses
	reach        reach
	fair         *fairAdmission // nil: off
	planned      *holder        // that planned in the last step
	statusAt     micros.Time
	statusSoon   bool        // send the status soon
	okAt         micros.Time // when the state service last answered in time
}

// spotLosses counts how often spot machines are taken.
type spotLosses struct {
	losses int
	time   micros.Time // machines times time
}

// rate is how often a spot machine is taken, a second. Before there is anything
// to go by, it is one in half an hour.
func (s *spotLosses) rate() float64 {
	return float64(s.losses+1) / (micros.Seconds(s.time) + 1800)
}

type peerView struct {
	at     micros.Time
	status *PeerStatus
}

// New starts a controller's core; incarnation must be new with every process.
func New(cfg *config.Config, incarnation string) *Core {
	keys := storage.Keys{Prefix: cfg.Operator.KeyPrefix}
	c := &Core{
		cfg: cfg, proc: storage.Process{Member: cfg.Member, Incarnation: incarnation},
		teams: bookkeeping.Teams(cfg), keys: keys, pending: map[uint64]func(any){},
		workerMost: max(1, cfg.Sockets().Calls/2), // the other half are idle connections
		budget:     storage.NewRateLimiter(cfg.Settings.StateLimits().RPS, cfg.Settings.StateLimits().WriteRPS, cfg.Settings.Nodes),
		holders:    map[int]*holder{}, ends: map[storage.Process]micros.Time{},
		rejected: rejections{}, peers: map[string]*peerView{}, cancelled: newCancellations(), archive: map[string]*storage.JobEntry{}, progress: map[string]JobProgress{},
		stats: bookkeeping.NewRuntimeStats(), faults: fleet.NewFaultTracker(), fair: newFairAdmission(cfg),
	}
	c.session.replica = storage.NewCache(keys)
	c.session.term = lease.Term{Length: cfg.LeadershipTerm()}
	c.leader.exhausted = fleet.NewCapacityTracker()
	return c
}

// Step takes inputs at a time: steady is a clock that never goes back, wall the
// time of day.
func (c *Core) Step(steady, wall micros.Time, inputs ...Input) *Output {
	c.now, c.wall = max(c.now, steady), wall
	if c.born == 0 {
		c.born = c.now
	}
	c.out = &Output{}
	for _, in := range inputs {
		c.input(in)
	}
	if due := c.tickAt + tickSoon; c.now >= due {
		c.tickAt = c.now
		c.tick()
		c.out.NextTick = c.now + tickEvery
	} else {
		c.out.NextTick = due
	}
	return c.out
}

// Took tells how long the last step took. The core has no clock; that planning
// leaves time for everything else is measured outside.
func (c *Core) Took(d micros.Time) {
	if c.planned != nil {
		c.planned.planPause = min(maxPlanInterval, max(planPace, planPart*d))
	}
	c.planned = nil
}

func (c *Core) input(in Input) {
	switch in := in.(type) {
	case *Submit:
		c.submit(in)
	case *Lookup:
		c.lookup(in)
	case *Cancel:
		c.cancel(in)
	case *LoadShed:
		c.shed()
	case *HeartbeatRequest:
		c.report(in)
	case *StoreCompletion:
		c.complete(in.Call, in.Reply)
	case *CloudCompletion:
		c.complete(in.Call, in.Reply)
	case *AgentCompletion:
		c.complete(in.Call, in.Reply)
	case *PeerStatus:
		c.heard(in)
	}
}

func (c *Core) complete(call uint64, reply any) {
	// A completion that comes twice, or was never asked for, has no effect.
	if done := c.pending[call]; done != nil {
		delete(c.pending, call)
		done(reply)
	}
}

func (c *Core) call(done func(any)) uint64 {
	c.nextCall++
	c.pending[c.nextCall] = done
	return c.nextCall
}

// callState sends a request to the state service if the budget allows.
func (c *Core) callState(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool {
	if c.rejected.holdBack(r, c.now) || !c.budget.Allow(c.now, r.Writes(), urgency) {
		return false
	}
	id := c.call(func(v any) {
		reply := v.(*storage.Reply)
		c.rejected.note(r, reply.Outcome, c.now)
		done(reply)
	})
	c.out.StoreCalls = append(c.out.StoreCalls, StoreCall{id, r, timeout})
	return true
}

func (c *Core) callCloud(call CloudCall, done func(*CloudReply)) {
	call.Call = c.call(func(v any) { done(v.(*CloudReply)) })
	c.out.CloudCalls = append(c.out.CloudCalls, call)
}

// callWorker sends a direct call; there must be room for it.
func (c *Core) callWorker(call AgentCall, done func(*AgentReply)) {
	c.workerOut++
	call.Call = c.call(func(v any) {
		c.workerOut--
		done(v.(*AgentReply))
	})
	c.out.AgentCalls = append(c.out.AgentCalls, call)
}

// roomForCalls is how many direct calls may be sent now. Each takes a socket: to
// ask or command a whole fleet at once would leave none for the workers' reports.
// Probes, whose machines often do not answer, leave a third to commands.
func (c *Core) roomForCalls(probe bool) int {
	most := c.workerMost
	if probe {
		most -= most / 3
	}
	return most - c.workerOut
}

// Log levels, as in log/slog.
const (
	levelDebug = -4
	levelInfo  = 0
	levelWarn  = 4
)

func (c *Core) log(level int, text string, args ...any) {
	c.out.LogRecords = append(c.out.LogRecords, LogRecord{level, text, args})
}

func (c *Core) tick() {
	if c.stateOK() {
		c.okAt = c.now
	}
	c.tickSession()
	c.tickBarrier()
	c.tickCatalog()
	c.keepCatalog()
	c.tickLeader()
	for _, n := range sortedKeys(c.holders) {
		c.holders[n].tick()
	}
	c.tickReach()
	c.tickCancelled()
	c.tickStatus()
}

// tickCatalog fetches the machine types; prices move, so they are fetched anew
// now and then.
func (c *Core) tickCatalog() {
	every := 60 * micros.Second
	if c.catalog == nil {
		every = micros.Second
	}
	if c.catalogOn || (c.catalogAt != 0 && c.now-c.catalogAt < every) {
		return
	}
	c.catalogOn, c.catalogAt = true, c.now
	c.callCloud(CloudCall{Operation: CloudCatalog, Timeout: 3 * micros.Second}, func(r *CloudReply) {
		c.catalogOn = false
		if r.Outcome == CloudOK && len(r.Catalog) > 0 {
			c.catalog = r.Catalog
			c.catalogOwn = true
			for _, h := range c.holders {
				h.dirty = true
			}
		}
	})
}

const (
	// staleAfter is how old news of the state may be before it counts as out of
	// reach: a watch comes back once a second.
	staleAfter = 2500 * micros.Millisecond
	// aloneAfter is how long a controller without state and siblings takes it for
	// an outage for all.
	aloneAfter = 6 * micros.Second
)

// stateOK tells whether this controller can serve users now.
func (c *Core) stateOK() bool {
	return c.synced && c.catalog != nil && c.term.SinceConfirmed(c.now) < staleAfter
}

// heardWithin tells whether any sibling that meets the condition has been heard
// of late.
func (c *Core) heardWithin(d micros.Time, cond func(*PeerStatus) bool) bool {
	for member, p := range c.peers {
		if member != c.proc.Member && c.now-p.at < d && cond(p.status) {
			return true
		}
	}
	return false
}

// heardFromAll tells whether every sibling has been heard of late.
func (c *Core) heardFromAll() bool {
	for _, s := range c.cfg.Peers {
		if p := c.peers[s.Member]; p == nil || c.now-p.at >= 3*micros.Second {
			return false
		}
	}
	return true
}

// alone tells whether neither the state service nor any sibling has been heard of
// late: then this controller's view may be outdated, whatever it says.
func (c *Core) alone() bool {
	return c.term.SinceConfirmed(c.now) >= staleAfter && c.now > c.born+2*micros.Second &&
		!c.heardWithin(2*micros.Second, func(*PeerStatus) bool { return true })
}

// Healthy tells whether the controller should be sent users' requests: it is
// not while a sibling can serve them and this one cannot. In an outage for all,
// everybody stays and tells users when to come back: being taken out of the load
// balancer outlasts the outage. With its siblings out of reach too, a controller
// cannot tell an outage from its own cut. It leaves after a while: in an outage
// that costs users seconds after its end, while in a cut those whose connections
// stay open here would not be answered for as long as it lasts.
func (c *Core) Healthy() bool {
	switch {
	case c.stateOK():
		return true
	case c.now < c.born+micros.Second:
		return false // it may only be starting
	case c.heardWithin(2*micros.Second, func(s *PeerStatus) bool { return s.StoreReachable }):
		return false
	case len(c.cfg.Peers) == 0 || c.heardWithin(2*micros.Second, func(*PeerStatus) bool { return true }):
		return true
	}
	return c.now-max(c.okAt, c.born) < aloneAfter
}

// tickStatus tells the siblings how things stand.
func (c *Core) tickStatus() {
	every := 500 * micros.Millisecond
	if c.statusSoon {
		every = 100 * micros.Millisecond
	}
	if c.now-c.statusAt < every {
		return
	}
	c.statusAt, c.statusSoon = c.now, false
	s := &PeerStatus{From: c.proc, Revision: c.replica.Revision, StoreReachable: c.stateOK(), Usage: c.budget.RecentUsage(), Reachability: c.reach.told(c.now)}
	var others storage.Usage
	for member, p := range c.peers {
		if member == c.proc.Member {
			continue
		}
		if c.now-p.at < 3*micros.Second {
			others.Requests += p.status.Usage.Requests
			others.Writes += p.status.Usage.Writes
		}
	}
	if !c.heardFromAll() {
		// What one that is not heard of uses is not known: an even share only.
		others = storage.Usage{Requests: 1 << 40, Writes: 1 << 40}
	}
	c.budget.SetPeerUsage(others)
	for _, n := range sortedKeys(c.holders) {
		h := c.holders[n]
		s.Partitions = append(s.Partitions, h.status())
		s.Progress = append(s.Progress, h.progress()...)
	}
	s.TerminatedMachines = c.leader.recentlyGone(c.now)
	s.CancellationAcks = c.cancelsHeard()
	s.Demand = c.demandToTell()
	for _, p := range c.cfg.Peers {
		mine := *s
		mine.Transfers = c.leader.shifts[p.Member]
		mine.Cancelled, mine.CancelledUpTo = c.noticesTo(p.Member)
		c.out.PeerMessages = append(c.out.PeerMessages, PeerMessage{p.Member, &mine})
	}
	for _, sh := range c.leader.shifts[c.proc.Member] {
		c.shift(sh)
	}
	c.leader.shifts = nil
	c.heard(s)
}

// heard takes a status, our own included. Nothing in it is believed that the
// stream of changes must tell, except that a machine is gone: that is a fact
// which nothing makes untrue.
func (c *Core) heard(s *PeerStatus) {
	c.peers[s.From.Member] = &peerView{c.now, s}
	c.takeNotices(s)
	c.heardDemandOf(s)
	for _, m := range s.TerminatedMachines {
		for _, h := range c.holders {
			h.machineGone(m)
		}
	}
	if s.From != c.proc {
		for _, sh := range s.Transfers {
			c.shift(sh)
		}
	}
	c.boundProgress()
	for _, p := range s.Progress {
		c.progress[p.ID] = p
	}
}

// minProgress is how many jobs' progress is kept at least, for display.
const minProgress = 4096

// boundProgress forgets the progress of jobs that are over, once there is much of it: with
// more active jobs than that all of theirs is kept.
func (c *Core) boundProgress() {
	if len(c.progress) <= max(minProgress, 2*c.progressKept) {
		return
	}
	for id := range c.progress {
		if e := c.replica.Jobs[id]; e == nil || e.Job.Phase != bookkeeping.Active {
			delete(c.progress, id)
		}
	}
	c.progressKept = len(c.progress)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
