package reachability

import (
	"maps"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

const (
	// ResultTTL is how long the results of a probe are valid.
	ResultTTL = 4 * micros.Second

	// maxZoneSample is the maximum number of machines probed in a zone. One would not be enough, since
	// some machines may have failed.
	maxZoneSample = 8
	// probeInterval is the minimum time between the starts of two rounds.
	probeInterval = 2 * micros.Second
	probeTimeout  = micros.Second
)

// Environment gives a probe access to the core.
type Environment interface {
	Now() micros.Time
	CallAgent(call messages.AgentCall, done func(*messages.AgentReply))
}

// Probe asks machines that their partition leader cannot reach for a heartbeat, in rounds.
type Probe struct {
	environment Environment
	onCompleted func()

	results       []messages.ZoneReachability
	callsInFlight int
	sentAt        micros.Time // 0: never
	completedAt   micros.Time // 0: never
}

// NewProbe returns a probe that calls onCompleted whenever all calls of a round have completed.
func NewProbe(environment Environment, onCompleted func()) *Probe {
	return &Probe{environment: environment, onCompleted: onCompleted}
}

// Due reports whether a new round may start now: none is in flight, and probeInterval has passed since
// the last one started.
func (p *Probe) Due() bool {
	return p.callsInFlight == 0 && (p.sentAt == 0 || p.environment.Now()-p.sentAt >= probeInterval)
}

// StartRound starts a round: it discards the results of the previous round and probes the samples.
func (p *Probe) StartRound(samples []ZoneSample) {
	p.results, p.sentAt = nil, p.environment.Now()
	for _, sample := range samples {
		p.results = append(p.results, messages.ZoneReachability{
			Partition: sample.Partition, Zone: sample.Zone, Probed: len(sample.Machines),
		})
		index := len(p.results) - 1
		for _, machine := range sample.Machines {
			p.call(machine, index)
		}
	}
}

// call probes one machine and counts its answer in the result at the given index.
func (p *Probe) call(machine Endpoint, index int) {
	p.callsInFlight++
	p.environment.CallAgent(messages.AgentCall{
		Machine: machine.ID, Address: machine.Address, StatusOnly: true, Timeout: probeTimeout,
	}, func(reply *messages.AgentReply) {
		// The address may belong to another machine by now.
		if reply.Heartbeat != nil && reply.Heartbeat.Machine == machine.ID {
			p.results[index].Answered++
		}
		p.callsInFlight--
		if p.callsInFlight == 0 {
			p.completedAt = p.environment.Now()
			p.onCompleted()
		}
	})
}

// Report returns the results of the last round for the peers, or nil if it is incomplete or too old.
func (p *Probe) Report() []messages.ZoneReachability {
	if p.callsInFlight > 0 || p.completedAt == 0 || p.environment.Now()-p.completedAt > ResultTTL {
		return nil
	}
	return p.results
}

// Endpoint is a machine and the address of its agent.
type Endpoint struct {
	ID      string
	Address string
}

// ZoneSample is the set of machines of a partition that are probed in one zone.
type ZoneSample struct {
	Partition int
	Zone      string
	Machines  []Endpoint
}

// Samples returns a sample of the machines in use for every zone of a partition. Within a zone, the
// machines are picked at even distances in the order of their names.
func Samples(cache *storage.Cache, partition int) []ZoneSample {
	byZone := map[string][]Endpoint{}
	for _, id := range slices.Sorted(maps.Keys(cache.Machines)) {
		machine := cache.Machines[id].Value
		if machine.Partition == partition && machine.Used && machine.Address != "" {
			byZone[machine.Zone] = append(byZone[machine.Zone], Endpoint{ID: id, Address: machine.Address})
		}
	}
	var samples []ZoneSample
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		all := byZone[zone]
		sample := ZoneSample{Partition: partition, Zone: zone}
		size := min(len(all), maxZoneSample)
		for i := range size {
			sample.Machines = append(sample.Machines, all[i*len(all)/size])
		}
		samples = append(samples, sample)
	}
	return samples
}
