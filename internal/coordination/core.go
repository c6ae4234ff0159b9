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
	// tickInterval is how often timers are looked at.
	tickInterval = 50 * micros.Millisecond
	// minTickInterval is how long after the last look they are looked at anew when there
	// was input: with hundreds of machines a look at every input would be all that
	// a controller does.
	minTickInterval = 20 * micros.Millisecond
)

// Core is the state machine of one controller. It dispatches inputs to its parts, lets them act
// on their timers, and collects what they ask for.
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
	fair   *fairAdmission // nil: off
	leader *clusterleader.Leader
}

// identity is which controller this is, and how it is configured.
type identity struct {
	config  *config.Config
	process storage.Process
	teams   map[string]*workload.Team
	keys    storage.Keys
}

// step is what one step begins with and produces.
type step struct {
	now, wall micros.Time
	startedAt micros.Time // of the first step
	lastTick  micros.Time
	output    *messages.Output
}

// storeCopy is this controller's copy of the key-value store.
type storeCopy struct {
	replica *replication.Replica
	cache   *storage.Cache   // the replica's, until it installs another
	term    *leadership.Term // the replica's
}

// clusterMember is this controller's standing among its peers.
type clusterMember struct {
	member   *membership.Member
	peers    *membership.Peers
	health   *membership.Health
	election *election.Election
	status   statusSchedule
}

// jobTables are what is kept of jobs besides the records in the store.
type jobTables struct {
	cancellations   *cancellation.Exchange
	dependencyLists int                          // lists of dependencies that were stored in parts
	archivedJobs    map[string]*storage.JobEntry // records read from the archive
	progress        *progressTable
	runtimes        *workload.RuntimeStats
}

// fleet is the partitions led here, and what their leaders know in common of the machines.
type fleet struct {
	partitions   map[int]*partitionLeader
	lastPlanned  *partitionLeader                // that planned in the last step
	deathTimes   map[storage.Process]micros.Time // when a process was first known to be dead
	faults       *provisioning.FaultTracker
	spot         spotLosses
	reachability *reachability.Probe
}

// New starts a controller's core; incarnation must be new with every process.
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
		fair: newFairAdmission(cfg),
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

// Step takes inputs at a time: steady is a clock that never goes back, wall the time of day.
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

// ObserveStepDuration takes how long the last step took. The core has no clock; that planning
// leaves time for everything else is measured outside.
func (c *Core) ObserveStepDuration(d micros.Time) {
	if c.lastPlanned != nil {
		c.lastPlanned.plan.recordDuration(d)
	}
	c.lastPlanned = nil
}

// dispatch hands an input to the part that it is for.
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

// tick lets the parts act on their timers, always in the same order.
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

// storeReachable tells whether this controller can serve users now.
func (c *Core) storeReachable() bool { return c.replica.Current() && c.catalog.Types() != nil }

// isClusterLeader tells whether this process is the cluster leader, as far as it can know.
func (c *Core) isClusterLeader() bool { return c.replica.Synced() && c.election.IsLeader(c.cache) }

// leaderCompare guards every transaction of the cluster leader: they may be applied late.
func (c *Core) leaderCompare() storage.Compare { return c.election.Compare(c.cache) }

// isolated tells whether this controller's view may be outdated, whatever it says.
func (c *Core) isolated() bool { return c.health.Isolated(c.now, c.replica.Stale()) }

// Healthy tells whether the controller should be sent users' requests.
func (c *Core) Healthy() bool { return c.health.Healthy(c.now, c.storeReachable()) }

// sortedKeys are a map's keys in order, where the order of what is done must not vary.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
