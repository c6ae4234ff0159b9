package admission

import (
	"cmp"
	"slices"
)

// Claim is what a flow asks for, in jobs, and its weights.
type Claim struct {
	Flow        Flow
	TeamWeight  int64
	ClassWeight int64
	Demand      int64
}

// claimant is one of those among whom a capacity is divided.
type claimant struct {
	demand, weight int64
	grant          int64
}

// divideMaxMin divides capacity by weighted max-min fairness: nobody is granted more than the
// demand, and what one leaves is divided among the others by their weights.
func divideMaxMin(capacity int64, claimants []*claimant) {
	order := slices.Clone(claimants)
	// The least demand for its weight is served first: what it leaves is known then.
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

// Divide divides capacity, in jobs, among flows, first among teams and then among the classes of
// each: a team gains nothing by making up classes. Each flow is granted a floor, in percent of an
// even share, whatever the weights. The result is in the order of the claims.
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

// teamClaim is what all flows of a team ask for, beyond their floors once these were granted.
type teamClaim struct {
	claimant
	team   string
	claims []int // indices
}

// groupByTeam adds the claims of each team up, in the order of the teams' names.
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

// divideAmongClasses adds what the team was granted to the grants of its classes.
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
