package admission

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
)

// FairQueue computes how far flows have fallen behind their fair share of the capacity: teams against
// each other, and the classes of each team among themselves, so that a team gains nothing by making
// up classes.
type FairQueue struct {
	settings *Settings
	table    *Table
	bound    micros.Time
	teams    *shareClock
	classes  map[string]*shareClock // by team
}

// Load is what a flow uses, and whether it has work that could start and waits.
type Load struct {
	Flow    Flow
	Use     int64 // milli CPU
	Waiting bool
}

// Lag is how far a flow is behind.
type Lag struct {
	Team  micros.Time // its team, behind its share of everything
	Class micros.Time // its class, behind its share of what the team has
}

// Beyond is the lag as far as it is beyond a bound.
func (l Lag) Beyond(bound micros.Time) Lag {
	if l.Team <= bound {
		l.Team = 0
	}
	if l.Class <= bound {
		l.Class = 0
	}
	return l
}

// Compare orders lags: the team that is furthest behind goes first.
func (l Lag) Compare(other Lag) int {
	return cmp.Or(cmp.Compare(other.Team, l.Team), cmp.Compare(other.Class, l.Class))
}

// NewFairQueue returns a queue for the flows of a number of teams. Lags beyond twice the bound are
// not remembered, so that what waited for long for other reasons takes no more than its turn.
func NewFairQueue(now micros.Time, teams int, bound micros.Time, s *Settings) *FairQueue {
	return &FairQueue{
		settings: s,
		table:    NewTable(teams),
		bound:    bound,
		teams:    newShareClock(now, bound),
		classes:  map[string]*shareClock{},
	}
}

// Advance brings the lags up to a time, by the loads of the last call, and takes the loads from here
// on. A flow may have several of them.
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

// with adds another load of the same party.
func (l load) with(other Load, weight int64) load {
	return load{use: l.use + other.Use, weight: weight, waiting: l.waiting || other.Waiting}
}

// Lag is how far a flow is behind.
func (q *FairQueue) Lag(f Flow) Lag {
	f = q.table.Resolve(f)
	l := Lag{Team: q.teams.lag(f.Team)}
	if clock := q.classes[f.Team]; clock != nil {
		l.Class = clock.lag(f.Class)
	}
	return l
}

// FlowLag is a flow's lag, for the next partition leader.
type FlowLag struct {
	Flow Flow
	Lag  Lag
}

// maxLagsPerMessage bounds the lags in one message to the peers.
const maxLagsPerMessage = 64

// Lags are the lags of the waiting flows that are furthest behind.
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

// Restore takes the lags under the former partition leader: they count from now on.
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
