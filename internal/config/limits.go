package config

import "pipitlatch/internal/micros"

// StateLimits returns the key-value store limits that every request observes from the start: the
// smaller of the current and the upcoming ones, since the change is unannounced, and a record that can
// no longer be written would block its job, block or partition.
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

// MaxValue returns the maximum size of a value in the key-value store, in bytes. It leaves 5 % for
// differences in how the store counts bytes.
func (s *Settings) MaxValue() int { return int(s.StateLimits().ValueKB * 1024 * 0.95) }

// Sockets is the division of the process's sockets by use.
type Sockets struct {
	Calls   int // direct calls to agents, idle connections included
	Service int // calls to the key-value store and the cloud
	Serve   int // inbound connections of agents and users
}

// minServe is the minimum number of sockets for inbound connections of agents and users.
const minServe = 4

// minReservedSockets returns the number of sockets needed for listeners, peers and the minimum of outbound
// calls: two listeners, one outbound and several inbound connections for each peer, and calls to
// agents, the key-value store and the cloud.
func (c *Config) minReservedSockets() int { return 1 + 5*len(c.Peers) + 2 + 4 }

// Sockets divides max_connections by use. Outbound connections get a small, bounded part, so that
// every agent of the fleet finds a socket for its heartbeats even if all connect to one controller.
func (c *Config) Sockets() Sockets {
	most := c.Settings.MachineLimits.MaxConnections
	s := Sockets{Calls: max(2, most/8), Service: min(64, max(4, most/16))}
	peers := 1 + 5*len(c.Peers) // two listeners, one outbound and several inbound connections for each peer
	s.Serve = max(minServe, most-s.Calls-s.Service-peers-most/64)
	return s
}

// terminalJobBytes is the approximate memory use of a terminal job.
const terminalJobBytes = 400

// MaxCachedTerminalJobs returns the number of terminal jobs that a controller keeps in memory. They
// take at most a sixteenth of its memory, and are no more than a starting controller can read in about
// a second within its share of the store's request rate. Older ones are read on demand.
func (c *Config) MaxCachedTerminalJobs() int {
	s := &c.Settings
	memory := s.MachineLimits.MemoryMB * 1e6 / 16 / terminalJobBytes
	list := s.StateLimits().RPS / float64(max(1, s.Nodes)) * 500
	return int(min(memory, list))
}

// AgentLease returns the duration of the lease that an agent holds on its tasks.
func (c *Config) AgentLease() micros.Time { return micros.FromSeconds(c.Settings.Workers.LeaseS) }

// AgentLeaseExpiry returns the time after a partition leader's last possible answer by which an agent's
// lease has certainly expired. It adds clock drift on both sides, timer granularity and one network hop.
func (c *Config) AgentLeaseExpiry() micros.Time {
	l := c.AgentLease()
	return l + l/500 + 500*micros.Millisecond
}

// LeadershipTerm returns how long a partition leader may answer its agents without hearing from the
// key-value store. Term + lease_s + margins <= cancel_s: a partition leader that is cut off from the
// store only does not see a cancellation, and the cancelled tasks must still end in time.
func (c *Config) LeadershipTerm() micros.Time {
	cancel := micros.FromSeconds(c.Settings.Workers.CancelS)
	return cancel - c.AgentLeaseExpiry() - cancel/500 - micros.Second
}
