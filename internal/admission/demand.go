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
	// generation is the time after which a part of what was seen is forgotten.
	generation = 5 * micros.Second
	// generations are kept of what was asked and accepted.
	generations = 3
	// lateness is how much later than he was told somebody may come back.
	lateness = 3 * micros.Second
	// recently is how far back what is counted by the second goes: refusals for lack of room,
	// as a sign of overload, and what epochs admitted.
	recently = 5 * micros.Second
)

// FlowDemand is what was asked for of one flow of late.
type FlowDemand struct {
	Flow     Flow
	Asked    *hyperloglog.Sketch // distinct references that asked of late, or were told to come back
	Accepted int64               // of them, taken
	Admitted int64               // verdicts in its favour within recently
}

// Demand is what a controller saw of late, and what it tells the others.
type Demand struct {
	Flows []FlowDemand
	// Refused is how many submissions were refused for lack of room, whatever the verdict.
	Refused int64
	// Admitted is how many an epoch admitted in the same time.
	Admitted int64
	// AcceptRate is how many were taken a second, in thousandths.
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

// Tracker counts what is asked of one controller.
type Tracker struct {
	table  *Table
	past   [generations]map[Flow]*flowCount // the newest first
	turned micros.Time
	// back are the references that were refused, by the time at which they were told to come
	// back: until then they are waiting, whether they ask or not.
	back    map[micros.Time]map[Flow]*hyperloglog.Sketch
	refused recent
	accept  recent
	admit   map[Flow]*recent
}

// NewTracker counts the flows of a number of teams.
func NewTracker(teams int) *Tracker {
	t := &Tracker{table: NewTable(teams), admit: map[Flow]*recent{},
		back: map[micros.Time]map[Flow]*hyperloglog.Sketch{}}
	for i := range t.past {
		t.past[i] = map[Flow]*flowCount{}
	}
	return t
}

// turn begins a new generation when it is time. After a long pause all are forgotten.
func (t *Tracker) turn(now micros.Time) {
	if now-t.turned < generation {
		return
	}
	for n := 0; n < generations && now-t.turned >= generation; n++ {
		copy(t.past[1:], t.past[:generations-1])
		t.past[0] = map[Flow]*flowCount{}
		t.turned += generation
	}
	if now-t.turned >= generation {
		t.turned = now
	}
	for at := range t.back {
		if at+generation < now-lateness {
			delete(t.back, at)
		}
	}
	var used []Flow
	for _, g := range t.past {
		used = slices.AppendSeq(used, maps.Keys(g))
	}
	for _, flows := range t.back {
		used = slices.AppendSeq(used, maps.Keys(flows))
	}
	slices.SortFunc(used, Flow.Compare)
	t.table.Keep(used)
	for f, r := range t.admit {
		if r.total(now) == 0 {
			delete(t.admit, f)
		}
	}
}

func (t *Tracker) count(now micros.Time, f Flow) *flowCount {
	t.turn(now)
	f = t.table.Resolve(f)
	c := t.past[0][f]
	if c == nil {
		c = &flowCount{asked: newSketch()}
		t.past[0][f] = c
	}
	return c
}

// Asked notes a submission of a job that is not known.
func (t *Tracker) Asked(now micros.Time, f Flow, ref string) {
	t.count(now, f).asked.InsertHash(xxhash.Sum64String(ref))
}

// ComeBack notes that a job was refused, and told to come back after a time.
func (t *Tracker) ComeBack(now micros.Time, f Flow, ref string, after micros.Time) {
	t.turn(now)
	f = t.table.Resolve(f)
	at := (now + min(after, MaxTurn)) / generation * generation
	if t.back[at] == nil {
		t.back[at] = map[Flow]*hyperloglog.Sketch{}
	}
	if t.back[at][f] == nil {
		t.back[at][f] = newSketch()
	}
	t.back[at][f].InsertHash(xxhash.Sum64String(ref))
}

// Accepted notes that a job was taken.
func (t *Tracker) Accepted(now micros.Time, f Flow) {
	t.count(now, f).accepted++
	t.accept.add(now)
}

// Admitted notes that an epoch admitted a submission.
func (t *Tracker) Admitted(now micros.Time, f Flow) {
	f = t.table.Resolve(f)
	if t.admit[f] == nil {
		t.admit[f] = &recent{}
	}
	t.admit[f].add(now)
}

// Refused notes that a submission was refused for lack of room.
func (t *Tracker) Refused(now micros.Time) { t.refused.add(now) }

// RefusedLately is how many submissions were refused for lack of room.
func (t *Tracker) RefusedLately(now micros.Time) int64 { return t.refused.total(now) }

// Demand is what was seen of late.
func (t *Tracker) Demand(now micros.Time) Demand {
	t.turn(now)
	d := Demand{Refused: t.refused.total(now), AcceptRate: t.accept.total(now) * 1000 * micros.Second / recently}
	merged := map[Flow]*FlowDemand{}
	for _, g := range t.past {
		for f, c := range g {
			if merged[f] == nil {
				merged[f] = &FlowDemand{Flow: f, Asked: newSketch()}
			}
			merged[f].add(c.asked, c.accepted)
		}
	}
	for at, flows := range t.back {
		for f, sketch := range flows {
			if at+generation < now-lateness {
				continue
			}
			if merged[f] == nil {
				merged[f] = &FlowDemand{Flow: f, Asked: newSketch()}
			}
			merged[f].add(sketch, 0)
		}
	}
	for f, r := range t.admit {
		n := r.total(now)
		d.Admitted += n
		if merged[f] != nil {
			merged[f].Admitted = n
		}
	}
	d.Flows = sortedDemands(merged)
	return d
}

// add merges in what another saw.
func (d *FlowDemand) add(asked *hyperloglog.Sketch, accepted int64) {
	d.Accepted += accepted
	if err := d.Asked.Merge(asked); err != nil {
		panic(fmt.Sprintf("admission: sketches of one precision do not merge: %v", err)) // checked when read
	}
}

func sortedDemands(m map[Flow]*FlowDemand) []FlowDemand {
	out := make([]FlowDemand, 0, len(m))
	for _, f := range slices.SortedFunc(maps.Keys(m), Flow.Compare) {
		out = append(out, *m[f])
	}
	return out
}

// Merge adds up what several controllers saw. A reference that asked at two of them counts
// once.
func Merge(all []Demand) Demand {
	var out Demand
	merged := map[Flow]*FlowDemand{}
	for i := range all {
		out.Refused += all[i].Refused
		out.Admitted += all[i].Admitted
		out.AcceptRate += all[i].AcceptRate
		for _, f := range all[i].Flows {
			if merged[f.Flow] == nil {
				merged[f.Flow] = &FlowDemand{Flow: f.Flow, Asked: newSketch()}
			}
			merged[f.Flow].add(f.Asked, f.Accepted)
			merged[f.Flow].Admitted += f.Admitted
		}
	}
	out.Flows = sortedDemands(merged)
	return out
}

// Waiting is about how many references still want to be taken.
func (d *FlowDemand) Waiting() int64 { return max(0, int64(d.Asked.Estimate())-d.Accepted) }

// EncodeSketch writes a sketch for a message to another controller.
func EncodeSketch(s *hyperloglog.Sketch) ([]byte, error) { return s.MarshalBinary() }

// DecodeSketch reads one; one of another precision is an error.
func DecodeSketch(raw []byte) (*hyperloglog.Sketch, error) {
	read := &hyperloglog.Sketch{}
	if err := read.UnmarshalBinary(raw); err != nil {
		return nil, fmt.Errorf("sketch: %w", err)
	}
	into := newSketch()
	if err := into.Merge(read); err != nil {
		return nil, fmt.Errorf("sketch: %w", err)
	}
	return into, nil
}

// recent counts events of the last recently, by the second.
type recent struct {
	second micros.Time // of counts[0]
	counts [recently / micros.Second]int64
}

func (r *recent) advance(now micros.Time) {
	second := now / micros.Second
	for ; r.second < second; r.second++ {
		if second-r.second > micros.Time(len(r.counts)) {
			clear(r.counts[:])
			r.second = second
			return
		}
		copy(r.counts[1:], r.counts[:len(r.counts)-1])
		r.counts[0] = 0
	}
}

func (r *recent) add(now micros.Time) {
	r.advance(now)
	r.counts[0]++
}

func (r *recent) total(now micros.Time) int64 {
	r.advance(now)
	sum := int64(0)
	for _, n := range r.counts {
		sum += n
	}
	return sum
}
