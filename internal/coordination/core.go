package coordination

import (
	"cmp"
	"maps"
	"slices"

	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/calls"
	"pipitlatch/internal/coordination/cancellation"
	"pipitlatch/internal/coordination/catalog"
	"pipitlatch/internal/coordination/clusterleader"
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
	// tickInterval is the interval between timer ticks when there is no input.
	tickInterval = 50 * micros.Millisecond
	// minTickInterval is the minimum interval between timer ticks when there is input. With
	// hundreds of machines, a tick at every input would take all of a controller's time.
	minTickInterval = 20 * micros.Millisecond
)

// Core is the state machine of one controller. It dispatches inputs to its components, runs their
// timers, and collects their outputs.
type Core struct {
	identity
	step
	calls        *calls.Table
	storeLimiter *storage.RateLimiter
	storeCopy
	clusterMember
	catalog *catalog.Catalog
	jobTables
	fleet
	fairAdmission *fairAdmission // nil if fair admission is disabled
	leader        *clusterleader.Leader
	metrics       messages.Metrics // its counters; Metrics adds the gauges
}

// identity is the identity and the configuration of this controller.
type identity struct {
	config  *config.Config
	process storage.Process
	teams   map[string]*workload.Team
	keys    storage.Keys
}

// step holds the times and the output of the current step.
type step struct {
	now, wall micros.Time
	startedAt micros.Time // time of the first step
	lastTick  micros.Time
	output    *messages.Output
}

// storeCopy is this controller's replica of the key-value store.
type storeCopy struct {
	replica *replication.Replica
	cache   *storage.Cache   // the replica's current cache; replaced with every snapshot
	term    *leadership.Term // the replica's leadership term
}

// clusterMember is the state of this controller as a member of the cluster.
type clusterMember struct {
	member   *membership.Member
	peers    *membership.Peers
	health   *membership.Health
	election *election.Election
	status   statusSchedule
}

// jobTables holds state of jobs that is not part of their records in the store.
type jobTables struct {
	cancellations   *cancellation.Exchange
	dependencyLists int                          // number of dependency lists that were stored in parts
	archivedJobs    map[string]*storage.JobEntry // records read from the archive
	progress        *progressTable
	runtimes        *workload.RuntimeStats
}

// fleet holds the partitions that this process leads, and the state of machines that their leaders
// share.
type fleet struct {
	partitions   map[int]*partitionLeader
	lastPlanned  *partitionLeader                // the leader that planned in the last step, if any
	deathTimes   map[storage.Process]micros.Time // when a process was first known to be dead
	faults       *provisioning.FaultTracker
	spot         spotLosses
	reachability *reachability.Probe
}

// New creates the core of a controller. The incarnation must be unique to each process.
func New(cfg *config.Config, incarnation string) *Core {
	limits := cfg.Settings.StateLimits()
	c := &Core{
		identity: identity{
			config:  cfg,
			process: storage.Process{Member: cfg.Member, Incarnation: incarnation},
			teams:   workload.Teams(cfg),
			keys:    storage.Keys{Prefix: cfg.Operator.KeyPrefix},
		},
		storeLimiter: storage.NewRateLimiter(limits.RPS, limits.WriteRPS, cfg.Settings.Nodes),
		jobTables: jobTables{
			archivedJobs: map[string]*storage.JobEntry{},
			progress:     newProgressTable(),
			runtimes:     workload.NewRuntimeStats(),
		},
		fairAdmission: newFairAdmission(cfg),
	}
	maxAgentCalls := max(1, cfg.Sockets().Calls/2) // the other half are idle connections
	c.calls = calls.NewTable(c.storeLimiter, maxAgentCalls)
	c.storeCopy = newStoreCopy(c)
	c.clusterMember = newClusterMember(c)
	c.catalog = catalog.New(environment{c}, catalog.Settings{
		Keys: c.keys, MaxValue: cfg.Settings.MaxValue(), MaxTxnOps: limits.TxnOps,
	}, c.replanAll)
	c.cancellations = cancellation.NewExchange(c.process, cancellationNoticeTTL(cfg))
	c.fleet = newFleet(c)
	c.leader = clusterleader.New(clusterView{environment{c}}, cfg, c.process, c.keys, c.peers)
	return c
}

func newStoreCopy(c *Core) storeCopy {
	replica := replication.New(environment{c}, replicaObserver{c}, replication.Settings{
		Keys: c.keys, TermLength: c.config.LeadershipTerm(), WatchInterval: watchInterval(c.config),
	})
	return storeCopy{replica: replica, cache: replica.Cache(), term: replica.Term()}
}

func newClusterMember(c *Core) clusterMember {
	peerNames := make([]string, len(c.config.Peers))
	for i, p := range c.config.Peers {
		peerNames[i] = p.Member
	}
	peers := membership.NewPeers(c.process.Member, peerNames)
	leaseTTL := micros.Time(c.config.Operator.PermitMs) * micros.Millisecond
	member := membership.NewMember(environment{c}, c.process, c.keys, leaseTTL)
	return clusterMember{
		member:   member,
		peers:    peers,
		health:   membership.NewHealth(peers),
		election: election.New(environment{c}, member, c.process, c.keys),
	}
}

func newFleet(c *Core) fleet {
	return fleet{
		partitions:   map[int]*partitionLeader{},
		deathTimes:   map[storage.Process]micros.Time{},
		faults:       provisioning.NewFaultTracker(),
		reachability: reachability.NewProbe(environment{c}, func() { c.status.soon = true }),
	}
}

// Step processes inputs and runs the timers that are due. steady is the monotonic time, wall the time
// of day.
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

// ObserveStepDuration records the duration of the last step, by which the next plan is timed so that
// planning leaves time for other work. The core has no clock, so the caller measures the duration.
func (c *Core) ObserveStepDuration(d micros.Time) {
	if c.lastPlanned != nil {
		c.lastPlanned.plan.recordDuration(d)
	}
	c.lastPlanned = nil
}

// dispatch passes an input to the component that handles it.
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
		c.routeHeartbeat(in)
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

// tick runs the timers of all components in a fixed order.
func (c *Core) tick() {
	if c.storeReachable() {
		c.health.MarkStoreReachable(c.now)
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
	c.tickClusterLeader()
	for _, n := range sortedKeys(c.partitions) {
		c.partitions[n].tick()
	}
	c.probeReachability()
	c.cancellations.Expire(c.now)
	c.sendStatus()
}

// replanAll marks the plans of all partitions stale after a change of instance types or prices.
func (c *Core) replanAll() {
	for _, p := range c.partitions {
		p.plan.stale = true
	}
}

// storeReachable reports whether this controller can serve users now: its copy of the store is
// current and the instance types are known.
func (c *Core) storeReachable() bool { return c.replica.Current() && c.catalog.Types() != nil }

// isClusterLeader reports whether this process is the cluster leader according to its copy of the
// store, which may be outdated.
func (c *Core) isClusterLeader() bool { return c.replica.Synced() && c.election.IsLeader(c.cache) }

// leaderCompare returns the compare that every transaction of the cluster leader must include, since
// a transaction may be applied after the leadership was lost.
func (c *Core) leaderCompare() storage.Compare { return c.election.Compare(c.cache) }

// isolated reports whether this controller's view may be outdated because it has heard neither from
// the store nor from any peer recently.
func (c *Core) isolated() bool { return c.health.Isolated(c.now, c.replica.Stale()) }

// Healthy reports whether the controller should receive users' requests.
func (c *Core) Healthy() bool { return c.health.Healthy(c.now, c.storeReachable()) }

// sortedKeys returns the keys of a map in ascending order. It is used wherever the iteration order
// affects the output, which must be deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
