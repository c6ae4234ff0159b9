package membership

import (
	"iter"
	"maps"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// statusTimeout is how long the last status of a peer counts as its present one, where a sum
// over all peers is made of them.
const statusTimeout = 3 * micros.Second

// Peer is the last status that a controller sent.
type Peer struct {
	ReceivedAt micros.Time
	Status     *messages.PeerStatus
}

// Peers is what a controller last heard of each member, itself included: its own status is
// received like those of the others.
type Peers struct {
	self     string
	expected []string // the other members, as configured
	latest   map[string]*Peer
}

// NewPeers returns the view of a member that has heard nothing yet of those it expects.
func NewPeers(self string, expected []string) *Peers {
	return &Peers{self: self, expected: expected, latest: map[string]*Peer{}}
}

// Receive takes a status.
func (p *Peers) Receive(now micros.Time, status *messages.PeerStatus) {
	p.latest[status.From.Member] = &Peer{ReceivedAt: now, Status: status}
}

// Latest is what a member last said; nil: nothing.
func (p *Peers) Latest(member string) *Peer { return p.latest[member] }

// All are the members that were ever heard, and what they last said, in order of their names.
func (p *Peers) All() iter.Seq2[string, *Peer] {
	return func(yield func(string, *Peer) bool) {
		for _, member := range slices.Sorted(maps.Keys(p.latest)) {
			if !yield(member, p.latest[member]) {
				return
			}
		}
	}
}

// AnyHeard tells whether the last status of any other member meets the condition and came
// less than a duration ago.
func (p *Peers) AnyHeard(now, within micros.Time, condition func(*messages.PeerStatus) bool) bool {
	for member, peer := range p.latest {
		if member != p.self && now-peer.ReceivedAt < within && condition(peer.Status) {
			return true
		}
	}
	return false
}

// AllHeard tells whether every other member has been heard of late.
func (p *Peers) AllHeard(now micros.Time) bool {
	for _, member := range p.expected {
		if peer := p.latest[member]; peer == nil || now-peer.ReceivedAt >= statusTimeout {
			return false
		}
	}
	return true
}

// StoreUsage is what the other members used of the key-value store's limits of late.
func (p *Peers) StoreUsage(now micros.Time) storage.Usage {
	if !p.AllHeard(now) {
		// What one that is not heard uses is unknown: this one has an even share only.
		return storage.Usage{Requests: 1 << 40, Writes: 1 << 40}
	}
	var total storage.Usage
	for member, peer := range p.latest {
		if member != p.self && now-peer.ReceivedAt < statusTimeout {
			total.Requests += peer.Status.Usage.Requests
			total.Writes += peer.Status.Usage.Writes
		}
	}
	return total
}
