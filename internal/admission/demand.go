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
	// sketchPrecision gives 1,024 registers: an error of 3 % in a kilobyte.
	sketchPrecision = 10
	// generationLength is the time after which the oldest generation of counts is forgotten.
	generationLength = 5 * micros.Second
	// generationCount is how many generations of what was asked for and accepted are kept.
	generationCount = 3
	// retryGracePeriod is how much later than at the promised turn a user may come back.
	retryGracePeriod = 3 * micros.Second
)

// FlowDemand is what was asked for of one flow of late.
type FlowDemand struct {
	Flow     Flow
	Asked    *hyperloglog.Sketch // distinct jobs that were submitted of late, or are to come back
	Accepted int64               // how many of them were accepted
	Admitted int64               // how many submissions were admitted in the recent period
}

// Demand is what a controller was asked for of late, as it tells its peers.
type Demand struct {
	Flows []FlowDemand
	// Refused is how many submissions were refused for lack of capacity in the recent period, whatever
	// the verdict.
	Refused int64
	// Admitted is how many an epoch admitted in the same time.
	Admitted int64
	// AcceptRate is how many were accepted a second, in thousandths.
	AcceptRate int64
}

func newSketch() *hyperloglog.Sketch {
	s, err := hyperloglog.NewSketch(sketchPrecision, true)
	if err != nil {
		panic(fmt.Sprintf("admission: precision of a sketch: %v", err)) // a constant
	}
	return s
}

// flowCount is what one generation saw of a flow.
type flowCount struct {
	asked    *hyperloglog.Sketch
	accepted int64
}

// Tracker counts what one controller is asked for.
type Tracker struct {
	table       *Table
	generations [generationCount]map[Flow]*flowCount // the newest first
	rotatedAt   micros.Time
	// pendingRetries are the jobs that were refused, by the time at which they were asked to come back
	// (the start of a generation's length): until then they are waiting, whether they ask or not.
	pendingRetries map[micros.Time]map[Flow]*hyperloglog.Sketch
	refused        recentCounter
	accepted       recentCounter
	admitted       map[Flow]*recentCounter
}

// NewTracker returns a tracker for the flows of a number of teams.
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

// rotate begins a new generation when it is time. After a long pause all are forgotten.
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

// retriesOver tells whether those that were asked to come back at a time have come, or will not.
func retriesOver(at, now micros.Time) bool { return at+generationLength < now-retryGracePeriod }

// usedFlows are the flows that are still counted, in order, some of them several times.
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

// count is the count of a flow in the newest generation.
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

// Asked records a submission of a job that is not known.
func (t *Tracker) Asked(now micros.Time, f Flow, id string) {
	t.count(now, f).asked.InsertHash(xxhash.Sum64String(id))
}

// Deferred records that a job was refused, and its user asked to come back after a time.
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

// Accepted records that a job was accepted.
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

// RefusedLately is how many submissions were refused for lack of capacity in the recent period.
func (t *Tracker) RefusedLately(now micros.Time) int64 { return t.refused.total(now) }

// Demand is what was asked for of late.
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

// flowDemands are demands that are being added up.
type flowDemands map[Flow]*FlowDemand

// of is the demand of a flow, a new one if there is none yet.
func (d flowDemands) of(f Flow) *FlowDemand {
	if d[f] == nil {
		d[f] = &FlowDemand{Flow: f, Asked: newSketch()}
	}
	return d[f]
}

// sorted are the demands in the order of their flows.
func (d flowDemands) sorted() []FlowDemand {
	demands := make([]FlowDemand, 0, len(d))
	for _, f := range slices.SortedFunc(maps.Keys(d), Flow.Compare) {
		demands = append(demands, *d[f])
	}
	return demands
}

// add merges in what was seen elsewhere, or at another time.
func (d *FlowDemand) add(asked *hyperloglog.Sketch, accepted int64) {
	d.Accepted += accepted
	if err := d.Asked.Merge(asked); err != nil {
		panic(fmt.Sprintf("admission: sketches of one precision do not merge: %v", err)) // checked when read
	}
}

// Merge adds up what several controllers were asked for. A job that was submitted at two of them
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

// Waiting is about how many jobs are still to be accepted.
func (d *FlowDemand) Waiting() int64 { return max(0, int64(d.Asked.Estimate())-d.Accepted) }

// EncodeSketch writes a sketch for a message to another controller.
func EncodeSketch(s *hyperloglog.Sketch) ([]byte, error) { return s.MarshalBinary() }

// DecodeSketch reads a sketch; one of another precision is an error.
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
