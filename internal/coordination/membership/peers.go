package membership

import (
	"iter"
	"maps"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// statusTimeout is how long the last status of a peer is considered current when the usage of all
// peers is added up.
const statusTimeout = 3 * micros.Second

// Peer is the last status received from a controller.
type Peer struct {
	ReceivedAt micros.Time
	Status     *messages.PeerStatus
}

// Peers holds the last status of each member. This includes the controller itself, which receives
// its own status like those of the others.
type Peers struct {
	self     string
	expected []string // the other members, as configured
	latest   map[string]*Peer
}

// NewPeers returns the peers of the member self before any status has been received. expected lists
// the other configured members.
func NewPeers(self string, expected []string) *Peers {
	return &Peers{self: self, expected: expected, latest: map[string]*Peer{}}
}

// Receive stores a status as the last one of its sender.
func (p *Peers) Receive(now micros.Time, status *messages.PeerStatus) {
	p.latest[status.From.Member] = &Peer{ReceivedAt: now, Status: status}
}

// Latest returns the last status of a member, or nil if none has been received.
func (p *Peers) Latest(member string) *Peer { return p.latest[member] }

// All iterates over all members that have ever sent a status, with the last one, ordered by name.
func (p *Peers) All() iter.Seq2[string, *Peer] {
	return func(yield func(string, *Peer) bool) {
		for _, member := range slices.Sorted(maps.Keys(p.latest)) {
			if !yield(member, p.latest[member]) {
				return
			}
		}
	}
}

// AnyRecent reports whether any other member's last status was received less than within ago and
// meets the condition.
func (p *Peers) AnyRecent(now, within micros.Time, condition func(*messages.PeerStatus) bool) bool {
	for member, peer := range p.latest {
		if member != p.self && now-peer.ReceivedAt < within && condition(peer.Status) {
			return true
		}
	}
	return false
}

// AllRecent reports whether every other configured member has sent a status within statusTimeout.
func (p *Peers) AllRecent(now micros.Time) bool {
	for _, member := range p.expected {
		if peer := p.latest[member]; peer == nil || now-peer.ReceivedAt >= statusTimeout {
			return false
		}
	}
	return true
}

// StoreUsage returns how much of the key-value store's request limits the other members used
// recently.
func (p *Peers) StoreUsage(now micros.Time) storage.Usage {
	if !p.AllRecent(now) {
		// The usage of a silent member is unknown. The maximum limits this member to an even share.
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
