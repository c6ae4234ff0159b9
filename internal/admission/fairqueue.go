package admission

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
)

// FairQueue computes how far flows lag behind their fair share of the capacity. It is hierarchical:
// teams share the capacity, and the classes of a team share what the team uses, so that a team gains
// nothing by inventing classes.
type FairQueue struct {
	settings *Settings
	table    *Table
	bound    micros.Time
	teams    *shareClock
	classes  map[string]*shareClock // by team
}

// Load is the resource use of a flow, and whether it has runnable work that waits for capacity.
type Load struct {
	Flow    Flow
	Use     int64 // milli CPU
	Waiting bool
}

// Lag is how far a flow lags behind its fair share.
type Lag struct {
	Team  micros.Time // lag of the team behind its share of the total use
	Class micros.Time // lag of the class behind its share of the team's use
}

// Beyond returns the lag with each component set to 0 that does not exceed the bound.
func (l Lag) Beyond(bound micros.Time) Lag {
	if l.Team <= bound {
		l.Team = 0
	}
	if l.Class <= bound {
		l.Class = 0
	}
	return l
}

// Compare orders lags in descending order, by team and then by class.
func (l Lag) Compare(other Lag) int {
	return cmp.Or(cmp.Compare(other.Team, l.Team), cmp.Compare(other.Class, l.Class))
}

// NewFairQueue returns a queue for the flows of the given number of teams. Lags are capped at twice
// the bound, so that a flow that waited long for other reasons does not monopolize the capacity
// afterwards.
func NewFairQueue(now micros.Time, teams int, bound micros.Time, s *Settings) *FairQueue {
	return &FairQueue{
		settings: s,
		table:    NewTable(teams),
		bound:    bound,
		teams:    newShareClock(now, bound),
		classes:  map[string]*shareClock{},
	}
}

// Advance updates the lags to the given time, with the loads of the previous call, and stores the new
// loads. A flow may occur several times; its loads are added up.
func (q *FairQueue) Advance(now micros.Time, loads []Load) {
	teams, classes := map[string]load{}, map[string]map[string]load{}
	for _, l := range loads {
		f := q.table.Resolve(l.Flow)
		if classes[f.Team] == nil {
			classes[f.Team] = map[string]load{}
		}
		teams[f.Team] = teams[f.Team].with(l, q.settings.teamWeight(f.Team))
		classes[f.Team][f.Class] = classes[f.Team][f.Class].with(l, q.settings.classWeight(f))
	}
	q.teams.advance(now, teams)
	for team := range classes {
		if q.classes[team] == nil {
			q.classes[team] = newShareClock(now, q.bound)
		}
	}
	var used []Flow
	for team, clock := range q.classes {
		clock.advance(now, classes[team])
		if len(clock.parties) == 0 {
			delete(q.classes, team)
		}
		for class := range clock.parties {
			used = append(used, Flow{team, class})
		}
	}
	slices.SortFunc(used, Flow.Compare)
	q.table.Keep(used)
}

// with returns the sum of two loads of the same party.
func (l load) with(other Load, weight int64) load {
	return load{use: l.use + other.Use, weight: weight, waiting: l.waiting || other.Waiting}
}

// Lag returns how far a flow lags behind its fair share.
func (q *FairQueue) Lag(f Flow) Lag {
	f = q.table.Resolve(f)
	l := Lag{Team: q.teams.lag(f.Team)}
	if clock := q.classes[f.Team]; clock != nil {
		l.Class = clock.lag(f.Class)
	}
	return l
}

// FlowLag is the lag of a flow, as handed over to the next partition leader.
type FlowLag struct {
	Flow Flow
	Lag  Lag
}

// maxLagsPerMessage bounds the number of lags in one message to the peers.
const maxLagsPerMessage = 64

// Lags returns the largest lags of waiting flows, in descending order.
func (q *FairQueue) Lags() []FlowLag {
	var lags []FlowLag
	for team, clock := range q.classes {
		for class, p := range clock.parties {
			if f := (Flow{team, class}); p.waiting {
				if lag := q.Lag(f); lag.Team > 0 || lag.Class > 0 {
					lags = append(lags, FlowLag{f, lag})
				}
			}
		}
	}
	slices.SortFunc(lags, func(a, b FlowLag) int { return cmp.Or(a.Lag.Compare(b.Lag), a.Flow.Compare(b.Flow)) })
	return lags[:min(len(lags), maxLagsPerMessage)]
}

// Restore takes over the lags reported by the previous partition leader, as of now.
func (q *FairQueue) Restore(now micros.Time, lags []FlowLag) {
	for _, l := range lags {
		f := q.table.Resolve(l.Flow)
		q.teams.restore(f.Team, l.Lag.Team)
		if q.classes[f.Team] == nil {
			q.classes[f.Team] = newShareClock(now, q.bound)
		}
		q.classes[f.Team].restore(f.Class, l.Lag.Class)
	}
}
