package admission

import (
	"fmt"
	"maps"
	"slices"

	"github.com/axiomhq/hyperloglog"
	"github.com/cespare/xxhash/v2"

	"pipitlatch/internal/micros"
)

const (
	// sketchPrecision gives 1,024 registers: a standard error of 3 % in one kilobyte.
	sketchPrecision = 10
	// generationLength is the interval at which the oldest generation of counts is discarded.
	generationLength = 5 * micros.Second
	// generationCount is the number of generations of submission and acceptance counts that are kept.
	generationCount = 3
	// retryGracePeriod is how long after the requested retry time a client may still retry.
	retryGracePeriod = 3 * micros.Second
)

// FlowDemand is the recent demand of one flow.
type FlowDemand struct {
	Flow     Flow
	Asked    *hyperloglog.Sketch // distinct jobs submitted recently or expected to be retried
	Accepted int64               // jobs accepted, over the same generations
	Admitted int64               // submissions admitted by an epoch in the recent period
}

// Demand is the recent demand at one controller, as reported to its peers.
type Demand struct {
	Flows []FlowDemand
	// Refused is the number of submissions refused for lack of capacity in the recent period, whatever
	// the epoch's verdict.
	Refused int64
	// Admitted is the number of submissions that an epoch admitted in the same period.
	Admitted int64
	// AcceptRate is the number of jobs accepted per second, in thousandths.
	AcceptRate int64
}

func newSketch() *hyperloglog.Sketch {
	s, err := hyperloglog.NewSketch(sketchPrecision, true)
	if err != nil {
		panic(fmt.Sprintf("admission: invalid sketch precision: %v", err)) // the precision is a constant
	}
	return s
}

// flowCount holds the counts of one flow in one generation.
type flowCount struct {
	asked    *hyperloglog.Sketch
	accepted int64
}

// Tracker measures the demand at one controller.
type Tracker struct {
	table       *Table
	generations [generationCount]map[Flow]*flowCount // newest first
	rotatedAt   micros.Time
	// pendingRetries holds the refused jobs by requested retry time, rounded down to a multiple of
	// generationLength. Their clients send nothing until they retry, so the jobs count as demand until
	// generationLength plus retryGracePeriod after the rounded time. That is 3 to 8 s after the
	// requested time.
	pendingRetries map[micros.Time]map[Flow]*hyperloglog.Sketch
	refused        recentCounter
	accepted       recentCounter
	admitted       map[Flow]*recentCounter
}

// NewTracker returns a tracker for the flows of the given number of teams.
func NewTracker(teams int) *Tracker {
	t := &Tracker{
		table:          NewTable(teams),
		pendingRetries: map[micros.Time]map[Flow]*hyperloglog.Sketch{},
		admitted:       map[Flow]*recentCounter{},
	}
	for i := range t.generations {
		t.generations[i] = map[Flow]*flowCount{}
	}
	return t
}

// rotate starts a new generation once generationLength has passed. After a pause longer than all
// generations together, all counts are discarded.
func (t *Tracker) rotate(now micros.Time) {
	if now-t.rotatedAt < generationLength {
		return
	}
	for n := 0; n < generationCount && now-t.rotatedAt >= generationLength; n++ {
		copy(t.generations[1:], t.generations[:generationCount-1])
		t.generations[0] = map[Flow]*flowCount{}
		t.rotatedAt += generationLength
	}
	if now-t.rotatedAt >= generationLength {
		t.rotatedAt = now
	}
	for at := range t.pendingRetries {
		if retriesOver(at, now) {
			delete(t.pendingRetries, at)
		}
	}
	t.table.Keep(t.usedFlows())
	for f, counter := range t.admitted {
		if counter.total(now) == 0 {
			delete(t.admitted, f)
		}
	}
}

// retriesOver reports whether retries requested for the given time are no longer expected: their
// clients have retried by now or will not.
func retriesOver(at, now micros.Time) bool { return at+generationLength < now-retryGracePeriod }

// usedFlows returns the flows that still have counts, sorted, possibly with duplicates.
func (t *Tracker) usedFlows() []Flow {
	var used []Flow
	for _, generation := range t.generations {
		used = slices.AppendSeq(used, maps.Keys(generation))
	}
	for _, flows := range t.pendingRetries {
		used = slices.AppendSeq(used, maps.Keys(flows))
	}
	slices.SortFunc(used, Flow.Compare)
	return used
}

// count returns the flow's counts in the newest generation, creating them if necessary.
func (t *Tracker) count(now micros.Time, f Flow) *flowCount {
	t.rotate(now)
	f = t.table.Resolve(f)
	c := t.generations[0][f]
	if c == nil {
		c = &flowCount{asked: newSketch()}
		t.generations[0][f] = c
	}
	return c
}

// Asked records the submission of a job that is not known yet.
func (t *Tracker) Asked(now micros.Time, f Flow, id string) {
	t.count(now, f).asked.InsertHash(xxhash.Sum64String(id))
}

// Deferred records that a job was refused and its client asked to retry after the given delay.
func (t *Tracker) Deferred(now micros.Time, f Flow, id string, after micros.Time) {
	t.rotate(now)
	f = t.table.Resolve(f)
	at := (now + min(after, MaxRetryDelay)) / generationLength * generationLength
	if t.pendingRetries[at] == nil {
		t.pendingRetries[at] = map[Flow]*hyperloglog.Sketch{}
	}
	if t.pendingRetries[at][f] == nil {
		t.pendingRetries[at][f] = newSketch()
	}
	t.pendingRetries[at][f].InsertHash(xxhash.Sum64String(id))
}

// Accepted records the acceptance of a job.
func (t *Tracker) Accepted(now micros.Time, f Flow) {
	t.count(now, f).accepted++
	t.accepted.add(now)
}

// Admitted records that an epoch admitted a submission.
func (t *Tracker) Admitted(now micros.Time, f Flow) {
	f = t.table.Resolve(f)
	if t.admitted[f] == nil {
		t.admitted[f] = &recentCounter{}
	}
	t.admitted[f].add(now)
}

// Refused records that a submission was refused for lack of capacity.
func (t *Tracker) Refused(now micros.Time) { t.refused.add(now) }

// RecentRefusals returns the number of submissions refused for lack of capacity in the recent period.
func (t *Tracker) RecentRefusals(now micros.Time) int64 { return t.refused.total(now) }

// Demand returns the recent demand. Submitted and accepted jobs are counted over all generations, and
// refused jobs as long as their retries are expected. Refusals, admissions and the acceptance rate
// cover the recent period.
func (t *Tracker) Demand(now micros.Time) Demand {
	t.rotate(now)
	d := Demand{
		Refused:    t.refused.total(now),
		AcceptRate: t.accepted.total(now) * 1000 * micros.Second / recentPeriod,
	}
	flows := flowDemands{}
	for _, generation := range t.generations {
		for f, c := range generation {
			flows.of(f).add(c.asked, c.accepted)
		}
	}
	for at, sketches := range t.pendingRetries {
		if retriesOver(at, now) {
			continue
		}
		for f, sketch := range sketches {
			flows.of(f).add(sketch, 0)
		}
	}
	for f, counter := range t.admitted {
		admitted := counter.total(now)
		d.Admitted += admitted
		if flows[f] != nil {
			flows[f].Admitted = admitted
		}
	}
	d.Flows = flows.sorted()
	return d
}

// flowDemands accumulates demand by flow.
type flowDemands map[Flow]*FlowDemand

// of returns the demand of a flow, creating it if necessary.
func (d flowDemands) of(f Flow) *FlowDemand {
	if d[f] == nil {
		d[f] = &FlowDemand{Flow: f, Asked: newSketch()}
	}
	return d[f]
}

// sorted returns the demands ordered by flow.
func (d flowDemands) sorted() []FlowDemand {
	demands := make([]FlowDemand, 0, len(d))
	for _, f := range slices.SortedFunc(maps.Keys(d), Flow.Compare) {
		demands = append(demands, *d[f])
	}
	return demands
}

// add merges the counts of another controller or generation.
func (d *FlowDemand) add(asked *hyperloglog.Sketch, accepted int64) {
	d.Accepted += accepted
	if err := d.Asked.Merge(asked); err != nil {
		panic(fmt.Sprintf("admission: merge sketches of equal precision: %v", err)) // DecodeSketch checks the precision
	}
}

// Merge returns the total demand at several controllers. A job that was submitted to two of them
// counts once.
func Merge(demands []Demand) Demand {
	var total Demand
	flows := flowDemands{}
	for i := range demands {
		total.Refused += demands[i].Refused
		total.Admitted += demands[i].Admitted
		total.AcceptRate += demands[i].AcceptRate
		for _, d := range demands[i].Flows {
			flow := flows.of(d.Flow)
			flow.add(d.Asked, d.Accepted)
			flow.Admitted += d.Admitted
		}
	}
	total.Flows = flows.sorted()
	return total
}

// Waiting estimates the number of jobs that are yet to be accepted.
func (d *FlowDemand) Waiting() int64 { return max(0, int64(d.Asked.Estimate())-d.Accepted) }

// EncodeSketch serializes a sketch for a message to another controller.
func EncodeSketch(s *hyperloglog.Sketch) ([]byte, error) { return s.MarshalBinary() }

// DecodeSketch deserializes a sketch and returns an error if its precision differs.
func DecodeSketch(raw []byte) (*hyperloglog.Sketch, error) {
	received := &hyperloglog.Sketch{}
	if err := received.UnmarshalBinary(raw); err != nil {
		return nil, fmt.Errorf("sketch: %w", err)
	}
	sketch := newSketch()
	if err := sketch.Merge(received); err != nil {
		return nil, fmt.Errorf("sketch: %w", err)
	}
	return sketch, nil
}
