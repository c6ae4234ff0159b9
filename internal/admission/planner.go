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

// teamWeight is the weight of a team, 1 where none is set.
func (s *Settings) teamWeight(team string) int64 { return max(1, s.Teams[team]) }

// classWeight is the weight of a flow within its team, 1 where none is set.
func (s *Settings) classWeight(f Flow) int64 { return max(1, s.Classes[f]) }

const (
	// validityLengths is for how many lengths an epoch is valid that is not followed by another: two
	// may be written late, or be read late, without a gap.
	validityLengths = 3
	// maxEpochsAfterOverload is how many epochs in a row are written although nothing was refused and there
	// was capacity for all; the cluster leader writes no more then.
	maxEpochsAfterOverload = 2
)

// Bounds of the correction, in percent of the computed capacity.
const (
	minCorrection = 70
	noCorrection  = 100
	maxCorrection = 300
)

// Planner plans the epochs that the cluster leader writes while there is an overload. What it must
// know of the last epoch is in the stored record, so that the next cluster leader goes on from there.
type Planner struct {
	settings            Settings
	writtenAt           micros.Time // when the last epoch was written here; 0: none was, or it may have failed
	epochsAfterOverload int         // epochs in a row without overload
	correction          int64       // percent of the computed capacity that windows are made for
	capacity            int64       // jobs an epoch, as computed for the last one
}

// NewPlanner returns a planner that has written no epoch yet.
func NewPlanner(s Settings) *Planner { return &Planner{settings: s, correction: noCorrection} }

// Situation is what the next epoch is decided by.
type Situation struct {
	Now, Wall micros.Time
	Leader    uint64 // fencing token
	Demand    Demand // of all controllers
	// Capacity is how many jobs can be accepted a second, in thousandths.
	Capacity int64
}

// Next is the epoch to be written now; nil if none is.
func (p *Planner) Next(v *View, s Situation) *Epoch {
	current := v.Current(s.Now)
	if p.writtenAt != 0 && s.Now-p.writtenAt < p.settings.Length {
		return nil
	}
	if current != nil && current.Leader != s.Leader && s.Now-v.validFrom < p.settings.Length {
		return nil // that of a former cluster leader is in force for a while
	}
	if current == nil && s.Demand.Refused == 0 {
		return nil
	}
	p.adjustCorrection(s.Demand)
	claims, grants, overloaded := p.divide(s)
	switch {
	case current == nil && !overloaded:
		return nil
	case overloaded:
		p.epochsAfterOverload = 0
	default:
		p.epochsAfterOverload++
	}
	if p.epochsAfterOverload > maxEpochsAfterOverload {
		return nil // the last one ends by itself
	}
	return p.epoch(v, s, claims, grants)
}

// adjustCorrection corrects the computed capacity by what came of it: how many jobs lie in a window
// is not known, only how many there are in all, and the capacity is that of a moment ago. It changes
// slowly, since those that are refused come back only at their turn.
func (p *Planner) adjustCorrection(d Demand) {
	switch {
	case d.Admitted == 0:
	case d.Refused*20 > d.Admitted:
		p.correction = max(minCorrection, p.correction*85/100)
	case d.Admitted*p.settings.Length/recentPeriod < p.capacity:
		p.correction = min(maxCorrection, p.correction*120/100+1)
	}
}

// divide returns what each flow is granted in one epoch, and whether any is granted less than it
// asks for.
func (p *Planner) divide(s Situation) (claims []Claim, grants []int64, overloaded bool) {
	for i := range s.Demand.Flows {
		d := &s.Demand.Flows[i]
		if waiting := d.Waiting(); waiting > 0 {
			claims = append(claims, Claim{
				Flow:        d.Flow,
				TeamWeight:  p.settings.teamWeight(d.Flow.Team),
				ClassWeight: p.settings.classWeight(d.Flow),
				Demand:      waiting,
			})
		}
	}
	p.capacity = s.Capacity * p.settings.Length / micros.Second / 1000
	grants = Divide(max(1, p.capacity*p.correction/noCorrection), p.settings.FloorPercent, claims)
	for i := range claims {
		overloaded = overloaded || grants[i] < claims[i].Demand
	}
	return claims, grants, overloaded
}

// epoch makes the record. Flows beyond its bound share a window of their team; teams beyond it share
// the rest.
func (p *Planner) epoch(v *View, s Situation, claims []Claim, grants []int64) *Epoch {
	e := &Epoch{
		Number:   v.newestNumber + 1,
		Leader:   s.Leader,
		Written:  s.Wall,
		Length:   p.settings.Length,
		Validity: validityLengths * p.settings.Length,
		Windows:  map[string]Window{},
	}
	previous := v.epoch // it may have ended: turns that were promised go on from it all the same
	if previous == nil {
		previous = &Epoch{Rest: Window{Width: Points}}
	}
	var rest windowShare
	for f, share := range groupByWindow(claims, grants, p.settings.MaxWindows) {
		if f == Rest {
			rest = share
			continue
		}
		e.Windows[f.Key()] = previous.window(f).next(share.width())
	}
	if rest.demand > 0 {
		e.Rest = previous.Rest.next(rest.width())
	} else {
		// A flow of which nothing was asked for yet: as wide as the narrowest that is known.
		e.Rest = previous.Rest.next(e.narrowestWidth())
	}
	return e
}

// windowShare is what the flows of one window are granted of what they ask for.
type windowShare struct{ grant, demand int64 }

// width is the part of the circle that admits so much of the demand: never nothing, so that every
// job has its turn.
func (s windowShare) width() uint32 {
	if s.grant >= s.demand {
		return Points
	}
	return uint32(max(1, s.grant*Points/s.demand))
}

// groupByWindow divides the claims among windows: one for each of the largest demands, one for the
// rest of each team, so that a quiet team does not share with one that has many flows, and one for
// all others.
func groupByWindow(claims []Claim, grants []int64, maxWindows int) map[Flow]windowShare {
	teams := map[string]bool{}
	order := make([]int, len(claims))
	for i, c := range claims {
		teams[c.Flow.Team] = true
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(claims[b].Demand, claims[a].Demand) })
	shares := map[Flow]windowShare{}
	for n, i := range order {
		f := claims[i].Flow
		if n >= maxWindows-len(teams) { // the other windows are for the rests of the teams
			f = f.TeamRest()
			if _, ok := shares[f]; !ok && len(shares) >= maxWindows {
				f = Rest
			}
		}
		share := shares[f]
		shares[f] = windowShare{share.grant + grants[i], share.demand + claims[i].Demand}
	}
	return shares
}

// narrowestWidth is the least width of any window.
func (e *Epoch) narrowestWidth() uint32 {
	least := uint32(Points)
	for _, w := range e.Windows {
		least = min(least, w.Width)
	}
	return least
}

// Written records that an epoch was sent to the key-value store.
func (p *Planner) Written(now micros.Time) { p.writtenAt = now }

// Failed records that it was not written, as far as is known: the next check tries again.
func (p *Planner) Failed() { p.writtenAt = 0 }
