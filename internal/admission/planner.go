package admission

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
)

// Settings are the operators' settings of fair admission.
type Settings struct {
	Length       micros.Time // of an epoch
	FloorPercent int64       // of an even share, for every flow
	Teams        map[string]int64
	Classes      map[Flow]int64
	MaxWindows   int // that a record has room for
}

// teamWeight and classWeight are 1 where nothing is set.
func (s *Settings) teamWeight(team string) int64 { return max(1, s.Teams[team]) }

func (s *Settings) classWeight(f Flow) int64 { return max(1, s.Classes[f]) }

// validLengths is for how many lengths an epoch is valid that is not followed by another:
// two may be written late, or be read late, without a gap.
const validLengths = 3

// calmLengths is for how many lengths nothing may have been refused, with room for all,
// before the leader writes no more epochs.
const calmLengths = 2

// Bounds of the pace, in percent of the capacity that is reckoned with.
const (
	minPace  = 70
	fullPace = 100
	maxPace  = 300
)

// Planner is the leader's part: it writes epochs while there is an overload. What it must
// know of the last epoch is in the stored record, so that a successor goes on from there.
type Planner struct {
	settings  Settings
	writtenAt micros.Time // when the last one was written here
	calm      int         // lengths in a row without overload
	pace      int64       // percent of the capacity that windows are made for
	given     int64       // what the last windows were to let in, at full pace
}

// NewPlanner plans by settings.
func NewPlanner(s Settings) *Planner { return &Planner{settings: s, pace: fullPace} }

// Situation is what the next epoch is decided by.
type Situation struct {
	Now, Wall micros.Time
	Leader    uint64 // fencing token
	Demand    Demand // of all controllers
	// Capacity is how many jobs can be taken a second, in thousandths.
	Capacity int64
}

// Next is the epoch to be written now; nil if none is.
func (p *Planner) Next(v *View, s Situation) *Epoch {
	running := v.Current(s.Now)
	if p.writtenAt != 0 && s.Now-p.writtenAt < p.settings.Length {
		return nil
	}
	if running != nil && running.Leader != s.Leader && s.Now-v.from < p.settings.Length {
		return nil // a predecessor's is in force for a while
	}
	if running == nil && s.Demand.Refused == 0 {
		return nil
	}
	p.adjust(s.Demand)
	claims, gives, over := p.divide(s)
	switch {
	case running == nil && !over:
		return nil
	case over:
		p.calm = 0
	default:
		p.calm++
	}
	if p.calm > calmLengths {
		return nil // the last one ends by itself
	}
	return p.epoch(v, s, claims, gives)
}

// adjust corrects what is reckoned with by what came of it: how many references lie in a
// window is not known, only how many there are in all, and the capacity is that of a moment
// ago. It goes slowly, since whoever is refused comes back only at his turn.
func (p *Planner) adjust(d Demand) {
	switch {
	case d.Admitted == 0:
	case d.Refused*20 > d.Admitted:
		p.pace = max(minPace, p.pace*85/100)
	case d.Admitted*p.settings.Length/recently < p.given:
		p.pace = min(maxPace, p.pace*120/100+1)
	}
}

// divide tells what each flow gets in one length, and whether any gets less than it asks for.
func (p *Planner) divide(s Situation) (claims []Claim, gives []int64, over bool) {
	for i := range s.Demand.Flows {
		d := &s.Demand.Flows[i]
		if n := d.Waiting(); n > 0 {
			claims = append(claims, Claim{Flow: d.Flow, TeamWeight: p.settings.teamWeight(d.Flow.Team),
				ClassWeight: p.settings.classWeight(d.Flow), Demand: n})
		}
	}
	p.given = s.Capacity * p.settings.Length / micros.Second / 1000
	gives = Divide(max(1, p.given*p.pace/fullPace), p.settings.FloorPercent, claims)
	for i := range claims {
		over = over || gives[i] < claims[i].Demand
	}
	return claims, gives, over
}

// epoch makes the record. Flows beyond its bound share a window of their team; teams beyond it
// share the rest.
func (p *Planner) epoch(v *View, s Situation, claims []Claim, gives []int64) *Epoch {
	e := &Epoch{Number: v.stored + 1, Leader: s.Leader, Written: s.Wall, Length: p.settings.Length,
		Validity: validLengths * p.settings.Length, Windows: map[string]Window{}}
	before := v.epoch // it may have ended: turns that were told go on from it all the same
	if before == nil {
		before = &Epoch{Rest: Window{Width: Points}}
	}
	var shared part
	for f, g := range group(claims, gives, p.settings.MaxWindows) {
		if f == Rest {
			shared = g
			continue
		}
		e.Windows[f.Key()] = before.window(f).next(g.width())
	}
	if shared.demand > 0 {
		e.Rest = before.Rest.next(shared.width())
	} else {
		// A flow that nobody asked for yet: as wide as the narrowest that is known.
		e.Rest = before.Rest.next(e.narrowest())
	}
	return e
}

// part is what flows under one window get of what they ask for.
type part struct{ give, demand int64 }

// width is the part of the circle that lets a part of the demand in: never nothing, so that
// every reference has its turn.
func (p part) width() uint32 {
	if p.give >= p.demand {
		return Points
	}
	return uint32(max(1, p.give*Points/p.demand))
}

// group divides the claims among windows: one for each of the largest demands, one for the
// rest of each team, so that a quiet team does not share with one that has many flows, and one
// for all others.
func group(claims []Claim, gives []int64, most int) map[Flow]part {
	teams := map[string]bool{}
	order := make([]int, len(claims))
	for i, c := range claims {
		teams[c.Flow.Team] = true
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(claims[b].Demand, claims[a].Demand) })
	out := map[Flow]part{}
	for n, i := range order {
		f := claims[i].Flow
		if n >= most-len(teams) { // the others are for the teams' rests
			f = f.TeamRest()
			if _, ok := out[f]; !ok && len(out) >= most {
				f = Rest
			}
		}
		g := out[f]
		out[f] = part{g.give + gives[i], g.demand + claims[i].Demand}
	}
	return out
}

// narrowest is the least width of any window.
func (e *Epoch) narrowest() uint32 {
	least := uint32(Points)
	for _, w := range e.Windows {
		least = min(least, w.Width)
	}
	return least
}

// Written notes that an epoch was sent to the state service.
func (p *Planner) Written(now micros.Time) { p.writtenAt = now }

// Failed notes that it was not written, as far as is known: the next look tries again.
func (p *Planner) Failed() { p.writtenAt = 0 }
