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

// want is one part of a max-min division.
type want struct {
	demand, weight int64
	give           int64
}

// maxMin divides capacity by weighted max-min fairness: nobody gets more than he wants, and
// what one leaves is divided among the others by their weights.
func maxMin(capacity int64, wants []*want) {
	order := slices.Clone(wants)
	// Who wants least for his weight is served first: what he leaves is known then.
	slices.SortStableFunc(order, func(a, b *want) int { return cmp.Compare(a.demand*b.weight, b.demand*a.weight) })
	weights := int64(0)
	for _, w := range order {
		weights += w.weight
	}
	for _, w := range order {
		w.give = min(w.demand, capacity*w.weight/max(1, weights))
		capacity -= w.give
		weights -= w.weight
	}
}

// Divide divides capacity, in jobs, among flows, first among teams and then among the
// classes of each: a team gains nothing by making up classes. Each flow gets a floor, in
// percent of an even share, whatever the weights. The result is in the order of the claims.
func Divide(capacity int64, floorPercent int64, claims []Claim) []int64 {
	out := make([]int64, len(claims))
	if len(claims) == 0 || capacity <= 0 {
		return out
	}
	teams := map[string]*teamClaim{}
	var names []string
	for i, c := range claims {
		t := teams[c.Flow.Team]
		if t == nil {
			t = &teamClaim{want: want{weight: c.TeamWeight}}
			teams[c.Flow.Team] = t
			names = append(names, c.Flow.Team)
		}
		t.claims = append(t.claims, i)
		t.demand += c.Demand
	}
	slices.Sort(names)
	var wants []*want
	for _, name := range names {
		t := teams[name]
		even := capacity / int64(len(names)) / int64(len(t.claims))
		for _, i := range t.claims {
			out[i] = min(claims[i].Demand, even*floorPercent/100)
			t.demand -= out[i]
		}
		wants = append(wants, &t.want)
	}
	for _, n := range out {
		capacity -= n
	}
	maxMin(capacity, wants)
	for _, name := range names {
		teams[name].divide(claims, out)
	}
	return out
}

// teamClaim is what all flows of a team ask for beyond their floors.
type teamClaim struct {
	want
	claims []int // indices
}

// divide gives what the team got to its classes.
func (t *teamClaim) divide(claims []Claim, out []int64) {
	wants := make([]*want, len(t.claims))
	for k, i := range t.claims {
		wants[k] = &want{demand: claims[i].Demand - out[i], weight: claims[i].ClassWeight}
	}
	maxMin(t.give, wants)
	for k, i := range t.claims {
		out[i] += wants[k].give
	}
}
