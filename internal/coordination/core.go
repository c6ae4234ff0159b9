package coordination

import (
	"cmp"
	"maps"
	"slices"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/calls"
	"pipitlatch/internal/coordination/cancellation"
	"pipitlatch/internal/coordination/catalog"
	"pipitlatch/internal/coordination/election"
	"pipitlatch/internal/coordination/leadership"
	"pipitlatch/internal/coordination/membership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/provisioning"
	"pipitlatch/internal/coordination/reachability"
	"pipitlatch/internal/coordination/replication"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// tickInterval is how often timers are looked at.
	tickInterval = 50 * micros.Millisecond
	// minTickInterval is how long after the last look they are looked at anew when there
	// was input: with hundreds of machines a look at every input would be all that
	// a controller does.
	minTickInterval = 20 * micros.Millisecond
)

// Core is the state machine of one controller.
type Core struct {
	config  *config.Config
	process storage.Process
	teams   map[string]*workload.Team
	keys    storage.Keys

	now, wall micros.Time
	startedAt micros.Time
	lastTick  micros.Time
	output    *messages.Output

	calls        *calls.Table
	storeLimiter *storage.RateLimiter
	replica      *replication.Replica
	cache        *storage.Cache   // the replica's, until it loads another
	term         *leadership.Term // the replica's
	election     *election.Election

	catalog *catalog.Catalog

	partitions      map[int]*partitionLeader
	deathTimes      map[storage.Process]micros.Time // when a process was first known to be dead
	member          *membership.Member
	peers           *membership.Peers
	health          *membership.Health
	status          statusSchedule
	cancellations   *cancellation.Exchange
	dependencyLists int                          // lists of dependencies that were stored in parts
	archivedJobs    map[string]*storage.JobEntry // records read from the archive
	progress        *progressTable
	leader          clusterLeader
	runtimes        *workload.RuntimeStats
	faults          *provisioning.FaultTracker
	spot            spotLosses
	reachability    *reachability.Probe
	fair            *fairAdmission   // nil: off
	lastPlanned     *partitionLeader // that planned in the last step
}

// New starts a controller's core; incarnation must be new with every process.
func New(cfg *config.Config, incarnation string) *Core {
	keys := storage.Keys{Prefix: cfg.Operator.KeyPrefix}
	limits := cfg.Settings.StateLimits()
	c := &Core{
		config:       cfg,
		process:      storage.Process{Member: cfg.Member, Incarnation: incarnation},
		teams:        workload.Teams(cfg),
		keys:         keys,
		storeLimiter: storage.NewRateLimiter(limits.RPS, limits.WriteRPS, cfg.Settings.Nodes),
		partitions:   map[int]*partitionLeader{},
		deathTimes:   map[storage.Process]micros.Time{},
		archivedJobs: map[string]*storage.JobEntry{},
		progress:     newProgressTable(),
		runtimes:     workload.NewRuntimeStats(),
		faults:       provisioning.NewFaultTracker(),
		fair:         newFairAdmission(cfg),
	}
	expected := make([]string, len(cfg.Peers))
	for i, p := range cfg.Peers {
		expected[i] = p.Member
	}
	maxAgentCalls := max(1, cfg.Sockets().Calls/2) // the other half are idle connections
	c.calls = calls.NewTable(c.storeLimiter, maxAgentCalls)
	c.peers = membership.NewPeers(cfg.Member, expected)
	c.health = membership.NewHealth(c.peers)
	leaseTTL := micros.Time(cfg.Operator.PermitMs) * micros.Millisecond
	c.cancellations = cancellation.NewExchange(c.process, cancellationNoticeTTL(cfg))
	c.reachability = reachability.NewProbe(environment{c}, func() { c.status.soon = true })
	c.member = membership.NewMember(environment{c}, c.process, keys, leaseTTL)
	c.election = election.New(environment{c}, c.member, c.process, keys)
	c.replica = replication.New(environment{c}, replicaObserver{c}, replication.Settings{
		Keys: keys, TermLength: cfg.LeadershipTerm(), WatchInterval: watchInterval(cfg),
	})
	c.cache, c.term = c.replica.Cache(), c.replica.Term()
	c.catalog = catalog.New(environment{c}, catalog.Settings{
		Keys: keys, MaxValue: cfg.Settings.MaxValue(), MaxTxnOps: limits.TxnOps,
	}, c.replanAll)
	c.leader = newClusterLeader(clusterView{environment{c}}, cfg, c.process, keys, c.peers)
	return c
}

// Step takes inputs at a time: steady is a clock that never goes back, wall the
// time of day.
func (c *Core) Step(steady, wall micros.Time, inputs ...messages.Input) *messages.Output {
	c.now, c.wall = max(c.now, steady), wall
	if c.startedAt == 0 {
		c.startedAt = c.now
		c.health.Start(c.now)
	}
	c.output = &messages.Output{}
	for _, in := range inputs {
		c.dispatch(in)
	}
	if due := c.lastTick + minTickInterval; c.now >= due {
		c.lastTick = c.now
		c.tick()
		c.output.NextTick = c.now + tickInterval
	} else {
		c.output.NextTick = due
	}
	return c.output
}

// ObserveStepDuration tells how long the last step took. The core has no clock; that planning
// leaves time for everything else is measured outside.
func (c *Core) ObserveStepDuration(d micros.Time) {
	if c.lastPlanned != nil {
		c.lastPlanned.plan.took(d)
	}
	c.lastPlanned = nil
}

func (c *Core) dispatch(in messages.Input) {
	switch in := in.(type) {
	case *messages.Submit:
		c.submit(in)
	case *messages.Lookup:
		c.lookup(in)
	case *messages.Cancel:
		c.cancel(in)
	case *messages.LoadShed:
		c.countShed()
	case *messages.HeartbeatRequest:
		c.handleHeartbeat(in)
	case *messages.StoreCompletion:
		c.calls.CompleteStore(c.now, in.Call, in.Reply)
	case *messages.CloudCompletion:
		c.calls.CompleteCloud(in.Call, in.Reply)
	case *messages.AgentCompletion:
		c.calls.CompleteAgent(in.Call, in.Reply)
	case *messages.PeerStatus:
		c.receiveStatus(in)
	}
}

func (c *Core) tick() {
	if c.storeReachable() {
		c.health.StoreServed(c.now)
	}
	c.member.RenewLease()
	c.replica.Refresh()
	if c.replica.Synced() {
		c.member.Register(c.cache)
		c.election.Campaign(c.cache)
	}
	c.replica.AdvanceReads()
	c.catalog.Refresh()
	c.catalog.AdoptStored(c.cache)
	if c.isClusterLeader() {
		c.catalog.Persist(c.cache, c.leaderCompare())
	}
	c.tickLeader()
	for _, n := range sortedKeys(c.partitions) {
		c.partitions[n].tick()
	}
	c.probeReachability()
	c.cancellations.Expire(c.now)
	c.sendStatus()
}

// replanAll lets every partition plan anew, as the instance types or their prices changed.
func (c *Core) replanAll() {
	for _, p := range c.partitions {
		p.plan.stale = true
	}
}

// storeReachable reports whether this controller can serve users now.
func (c *Core) storeReachable() bool { return c.replica.Current() && c.catalog.Types() != nil }

// isClusterLeader reports whether this process is the cluster leader, as far as it can know.
func (c *Core) isClusterLeader() bool { return c.replica.Synced() && c.election.Leads(c.cache) }

// leaderCompare guards every transaction of the cluster leader: they may be applied late.
func (c *Core) leaderCompare() storage.Compare { return c.election.Compare(c.cache) }

// isolated reports whether this controller's view may be outdated, whatever it says.
func (c *Core) isolated() bool { return c.health.Isolated(c.now, c.replica.Stale()) }

// Healthy reports whether the controller should be sent users' requests.
func (c *Core) Healthy() bool { return c.health.Healthy(c.now, c.storeReachable()) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
