package admission

import (
	"cmp"
	"slices"

	"pipitlatch/internal/micros"
)

// Settings are the operator's settings for fair admission.
type Settings struct {
	Length       micros.Time      // length of an epoch
	FloorPercent int64            // minimum grant of every flow, in percent of an equal share
	Teams        map[string]int64 // weights of teams
	Classes      map[Flow]int64   // weights of classes within their team
	MaxWindows   int              // number of windows that fit into an epoch record
}

// teamWeight returns the weight of a team, 1 if none is set.
func (s *Settings) teamWeight(team string) int64 { return max(1, s.Teams[team]) }

// classWeight returns the weight of a flow within its team, 1 if none is set.
func (s *Settings) classWeight(f Flow) int64 { return max(1, s.Classes[f]) }

const (
	// validityLengths is the validity of an epoch in epoch lengths: two successors may be written or
	// read late without a gap.
	validityLengths = 3
	// maxEpochsAfterOverload is the number of consecutive epochs that are written while the capacity
	// covers all demand. After that the cluster leader stops writing epochs.
	maxEpochsAfterOverload = 2
)

// Bounds and initial value of the correction, in percent of the computed capacity.
const (
	minCorrection = 70
	noCorrection  = 100
	maxCorrection = 300
)

// Planner plans the epochs that the cluster leader writes during an overload. It takes the windows to
// continue from out of the stored record, so that a new cluster leader continues where the previous
// one stopped.
type Planner struct {
	settings            Settings
	writtenAt           micros.Time // when this planner last wrote an epoch; 0: not yet, or it may have failed
	epochsAfterOverload int         // consecutive epochs without overload
	correction          int64       // percent of the computed capacity for which windows are sized
	capacity            int64       // jobs per epoch, as computed for the last epoch
}

// NewPlanner returns a planner that has written no epoch yet.
func NewPlanner(s Settings) *Planner { return &Planner{settings: s, correction: noCorrection} }

// Situation is the input for planning the next epoch.
type Situation struct {
	Now, Wall micros.Time
	Leader    uint64 // fencing token
	Demand    Demand // of all controllers
	// Capacity is the number of jobs that can be accepted per second, in thousandths.
	Capacity int64
}

// Next returns the epoch to be written now, or nil if none is due.
func (p *Planner) Next(v *View, s Situation) *Epoch {
	current := v.Current(s.Now)
	if p.writtenAt != 0 && s.Now-p.writtenAt < p.settings.Length {
		return nil
	}
	if current != nil && current.Leader != s.Leader && s.Now-v.validFrom < p.settings.Length {
		return nil // an epoch of the previous cluster leader runs for its full length
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
		return nil // the last epoch expires
	}
	return p.epoch(v, s, claims, grants)
}

// adjustCorrection adjusts the correction by the observed admissions and refusals. The computed value
// is inexact because only the total number of jobs is known, not the number in a window, and because
// the capacity is slightly out of date. The correction changes slowly, since refused jobs are retried
// only after their retry delay.
func (p *Planner) adjustCorrection(d Demand) {
	switch {
	case d.Admitted == 0:
	case d.Refused*20 > d.Admitted:
		p.correction = max(minCorrection, p.correction*85/100)
	case d.Admitted*p.settings.Length/recentPeriod < p.capacity:
		p.correction = min(maxCorrection, p.correction*120/100+1)
	}
}

// divide returns the grant of each flow for one epoch, and whether any grant is less than the demand.
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

// epoch builds the epoch record. Flows beyond the maximum number of windows share a window of their
// team; teams beyond it share Rest.
func (p *Planner) epoch(v *View, s Situation, claims []Claim, grants []int64) *Epoch {
	e := &Epoch{
		Number:   v.newestNumber + 1,
		Leader:   s.Leader,
		Written:  s.Wall,
		Length:   p.settings.Length,
		Validity: validityLengths * p.settings.Length,
		Windows:  map[string]Window{},
	}
	// The previous epoch may have expired, but retry delays given to clients still follow its windows.
	previous := v.epoch
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
		// Flows without demand so far get the width of the narrowest window.
		e.Rest = previous.Rest.next(e.narrowestWidth())
	}
	return e
}

// windowShare is the total grant and demand of the flows that share one window.
type windowShare struct{ grant, demand int64 }

// width returns the part of the ring that admits the granted fraction of the demand. It is at least 1,
// so that every job is admitted eventually.
func (s windowShare) width() uint32 {
	if s.grant >= s.demand {
		return Points
	}
	return uint32(max(1, s.grant*Points/s.demand))
}

// groupByWindow assigns the claims to windows: one for each of the largest demands, one for the
// remaining flows of each team, so that a team with little demand does not share a window with one
// that has many flows, and one for all others.
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
		if n >= maxWindows-len(teams) { // the remaining windows are reserved for TeamRest flows
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

// narrowestWidth returns the width of the narrowest window, or that of the whole ring without windows.
func (e *Epoch) narrowestWidth() uint32 {
	least := uint32(Points)
	for _, w := range e.Windows {
		least = min(least, w.Width)
	}
	return least
}

// Written records that an epoch was sent to the key-value store.
func (p *Planner) Written(now micros.Time) { p.writtenAt = now }

// Failed records that the write failed or may have failed, so that the next check retries it.
func (p *Planner) Failed() { p.writtenAt = 0 }
