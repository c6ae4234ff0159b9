package config

import "pipitlatch/internal/micros"

// StateLimits are the limits that every request keeps to from the start: the smaller
// ones of those in force and those to come, since the change comes unannounced, and a
// record that can no longer be written would stop its job, block or partition.
func (s *Settings) StateLimits() State {
	limits := State{RPS: s.State.RPS, WriteRPS: s.State.WriteRPS, ValueKB: s.State.ValueKB,
		TxnOps: s.State.TxnOps}
	n := s.State.Next
	if n == nil {
		return limits
	}
	smaller := func(v *float64, next float64) {
		if next > 0 {
			*v = min(*v, next)
		}
	}
	smaller(&limits.RPS, n.RPS)
	smaller(&limits.WriteRPS, n.WriteRPS)
	smaller(&limits.ValueKB, n.ValueKB)
	if n.TxnOps > 0 {
		limits.TxnOps = min(limits.TxnOps, n.TxnOps)
	}
	return limits
}

// MaxValue is how many bytes a value in the key-value store may have, with some left for
// how the store counts them.
func (s *Settings) MaxValue() int { return int(s.StateLimits().ValueKB * 1024 * 0.95) }

// Sockets is how the process's sockets are shared out.
type Sockets struct {
	Calls   int // direct calls to agents, idle connections included
	Service int // calls to key-value store and cloud
	Serve   int // agents and users
}

// minServe is how many sockets must be left for agents and users.
const minServe = 4

// ownSockets is how many the controllers need among themselves, and for the least of
// calls: two listeners, one out and a few in for each peer, calls to agents,
// key-value store and cloud.
func (c *Config) ownSockets() int { return 1 + 5*len(c.Peers) + 2 + 4 }

// Sockets shares max_connections out: what this process opens itself is bounded
// and small, so that every agent of a fleet finds a socket for its heartbeats, also
// when all of them come to one controller.
func (c *Config) Sockets() Sockets {
	most := c.Settings.MachineLimits.MaxConnections
	s := Sockets{Calls: max(2, most/8), Service: min(64, max(4, most/16))}
	peers := 1 + 5*len(c.Peers) // two listeners, one out and a few in for each
	s.Serve = max(minServe, most-s.Calls-s.Service-peers-most/64)
	return s
}

// terminalJobBytes is about what a terminal job takes in memory, measured.
const terminalJobBytes = 400

// MaxCachedTerminalJobs is how many terminal jobs every controller keeps in memory: a
// sixteenth of it at most, and no more than a start reads in about a second within
// its share of the store's requests. Older ones are read when asked for.
func (c *Config) MaxCachedTerminalJobs() int {
	s := &c.Settings
	memory := s.MachineLimits.MemoryMB * 1e6 / 16 / terminalJobBytes
	list := s.StateLimits().RPS / float64(max(1, s.Nodes)) * 500
	return int(min(memory, list))
}

// AgentLease is the lease that an agent holds on its tasks.
func (c *Config) AgentLease() micros.Time { return micros.FromSeconds(c.Settings.Workers.LeaseS) }

// AgentLeaseExpiry is how long after a partition leader's last possible answer an agent's
// lease has surely ended: drift on both sides, timer steps and a hop added.
func (c *Config) AgentLeaseExpiry() micros.Time {
	l := c.AgentLease()
	return l + l/500 + 500*micros.Millisecond
}

// LeadershipTerm is how long a partition leader may answer its agents without hearing from the
// key-value store. Term + lease_s + margins <= cancel_s: a partition leader that is cut off
// alone from the store does not see a cancellation, and the cancelled tasks
// must still end in time.
func (c *Config) LeadershipTerm() micros.Time {
	cancel := micros.FromSeconds(c.Settings.Workers.CancelS)
	return cancel - c.AgentLeaseExpiry() - cancel/500 - micros.Second
}
