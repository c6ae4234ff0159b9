package admission

import (
	"cmp"
	"slices"
)

// Claim is the demand of a flow, in jobs, and its weights.
type Claim struct {
	Flow        Flow
	TeamWeight  int64
	ClassWeight int64
	Demand      int64
}

// claimant is a participant in a max-min division.
type claimant struct {
	demand, weight int64
	grant          int64
}

// divideMaxMin divides capacity by weighted max-min fairness: no claimant is granted more than its
// demand, and capacity that it leaves unused is divided among the others by weight.
func divideMaxMin(capacity int64, claimants []*claimant) {
	order := slices.Clone(claimants)
	// In ascending order of demand per weight, the capacity that each claimant leaves unused is known
	// before the next one is served.
	slices.SortStableFunc(order, func(a, b *claimant) int { return cmp.Compare(a.demand*b.weight, b.demand*a.weight) })
	weights := int64(0)
	for _, c := range order {
		weights += c.weight
	}
	for _, c := range order {
		c.grant = min(c.demand, capacity*c.weight/max(1, weights))
		capacity -= c.grant
		weights -= c.weight
	}
}

// Divide divides capacity, in jobs, among flows: first among teams, then among the classes of each
// team, so that a team gains nothing by inventing classes. Whatever the weights, each flow is granted
// a minimum of floorPercent of an equal share, or its demand if that is less. The result has the order
// of the claims.
func Divide(capacity int64, floorPercent int64, claims []Claim) []int64 {
	grants := make([]int64, len(claims))
	if len(claims) == 0 || capacity <= 0 {
		return grants
	}
	teams := groupByTeam(claims)
	for _, t := range teams {
		evenShare := capacity / int64(len(teams)) / int64(len(t.claims))
		for _, i := range t.claims {
			grants[i] = min(claims[i].Demand, evenShare*floorPercent/100)
			t.demand -= grants[i]
		}
	}
	for _, floor := range grants {
		capacity -= floor
	}
	claimants := make([]*claimant, len(teams))
	for i, t := range teams {
		claimants[i] = &t.claimant
	}
	divideMaxMin(capacity, claimants)
	for _, t := range teams {
		t.divideAmongClasses(claims, grants)
	}
	return grants
}

// teamClaim is the total demand of a team's flows, less their floors once these have been granted.
type teamClaim struct {
	claimant
	team   string
	claims []int // indices into the claims passed to Divide
}

// groupByTeam totals the claims of each team and returns the totals sorted by team name.
func groupByTeam(claims []Claim) []*teamClaim {
	byName := map[string]*teamClaim{}
	var teams []*teamClaim
	for i, c := range claims {
		t := byName[c.Flow.Team]
		if t == nil {
			t = &teamClaim{claimant: claimant{weight: c.TeamWeight}, team: c.Flow.Team}
			byName[c.Flow.Team] = t
			teams = append(teams, t)
		}
		t.claims = append(t.claims, i)
		t.demand += c.Demand
	}
	slices.SortFunc(teams, func(a, b *teamClaim) int { return cmp.Compare(a.team, b.team) })
	return teams
}

// divideAmongClasses divides the team's grant among its classes and adds the parts to their grants.
func (t *teamClaim) divideAmongClasses(claims []Claim, grants []int64) {
	claimants := make([]*claimant, len(t.claims))
	for k, i := range t.claims {
		claimants[k] = &claimant{demand: claims[i].Demand - grants[i], weight: claims[i].ClassWeight}
	}
	divideMaxMin(t.grant, claimants)
	for k, i := range t.claims {
		grants[i] += claimants[k].grant
	}
}
