package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestDivide(t *testing.T) {
	claim := func(team, class string, weight, demand int64) Claim {
		return Claim{Flow{team, class}, weight, 1, demand}
	}
	for name, c := range map[string]struct {
		capacity, floor int64
		claims          []Claim
		want            []int64
	}{
		"unused share is redistributed": {100, 0, []Claim{claim("a", "x", 1, 10), claim("b", "x", 1, 200),
			claim("c", "x", 1, 200)}, []int64{10, 45, 45}},
		"weights": {90, 0, []Claim{claim("a", "x", 2, 500), claim("b", "x", 1, 500)}, []int64{60, 30}},
		"invented classes gain nothing": {90, 0, []Claim{claim("a", "x", 1, 500), claim("a", "y", 1, 500),
			claim("a", "z", 1, 500), claim("b", "x", 1, 500)}, []int64{15, 15, 15, 45}},
		// Beyond its floor of 10, b is granted 1 by its weight.
		"floor":          {100, 20, []Claim{claim("a", "x", 1000, 5000), claim("b", "x", 1, 50)}, []int64{89, 11}},
		"ample capacity": {1000, 25, []Claim{claim("a", "x", 1, 10), claim("b", "x", 1, 20)}, []int64{10, 20}},
		"no capacity":    {0, 25, []Claim{claim("a", "x", 1, 10)}, []int64{0}},
	} {
		if got := Divide(c.capacity, c.floor, c.claims); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(0, 1000).Draw(t, "capacity")
		var claims []Claim
		demand := int64(0)
		for i := range rapid.IntRange(1, 12).Draw(t, "flows") {
			c := Claim{
				Flow:        Flow{fmt.Sprint(i % 4), fmt.Sprint(i)},
				TeamWeight:  rapid.Int64Range(1, 9).Draw(t, "team"),
				ClassWeight: rapid.Int64Range(1, 9).Draw(t, "class"),
				Demand:      rapid.Int64Range(1, 400).Draw(t, "demand"),
			}
			claims = append(claims, c)
			demand += c.Demand
		}
		sum := int64(0)
		for i, n := range Divide(capacity, 25, claims) {
			if n < 0 || n > claims[i].Demand {
				t.Fatalf("claim %d: granted %d, demand %d", i, n, claims[i].Demand)
			}
			sum += n
		}
		if sum > capacity || sum < min(capacity, demand)-int64(len(claims)) {
			t.Fatalf("granted %d, capacity %d, demand %d", sum, capacity, demand)
		}
	})
}
