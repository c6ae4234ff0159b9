package coordination

import (
	"testing"

	"pipitlatch/internal/workload"
)

// fleetOf returns a machine for each name.
func fleetOf(names ...string) map[string]*machine {
	fleet := map[string]*machine{}
	for _, name := range names {
		fleet[name] = &machine{id: name}
	}
	return fleet
}

// surveyOf returns a survey of machines, given by name the replicas that each has and how many more
// fit there.
func surveyOf(fleet map[string]*machine, growth int, machines map[string][2]int) *headroomSurvey {
	s := newHeadroomSurvey()
	s.service = &job{Job: &workload.Job{Kind: workload.Service}}
	s.growth = growth
	for name, counts := range machines {
		for range counts[0] {
			s.addReplica(fleet[name])
		}
		s.addHeadroom(fleet[name], counts[1])
	}
	s.rankMachines()
	return s
}

func TestMissingHeadroom(t *testing.T) {
	fleet := fleetOf("a", "b", "c")
	for _, c := range []struct {
		name     string
		growth   int
		machines map[string][2]int // replicas, and how many more fit
		without  string
		want     int
	}{
		{name: "growth alone", growth: 3, machines: map[string][2]int{"a": {0, 2}}, want: 1},
		{name: "growth that exceeds the loss of any machine", growth: 9,
			machines: map[string][2]int{"a": {1, 1}, "b": {0, 5}}, want: 9 - 6},
		{name: "loss of the worst machine includes its free slots", growth: 1,
			machines: map[string][2]int{"a": {4, 2}, "b": {3, 1}, "c": {0, 2}}, want: 4 + 2 - 5},
		{name: "loss of a machine without replicas does not count", growth: 1,
			machines: map[string][2]int{"a": {1, 1}, "c": {0, 9}}, want: 1 + 1 - 10},
		{name: "without the worst: the second worst and the moved replicas", growth: 1,
			machines: map[string][2]int{"a": {4, 2}, "b": {3, 1}, "c": {0, 2}}, without: "a", want: 3 + 1 + 4 - 3},
		{name: "without another: the worst and the moved replicas", growth: 1,
			machines: map[string][2]int{"a": {4, 2}, "b": {3, 1}, "c": {0, 2}}, without: "b", want: 4 + 2 + 3 - 4},
		{name: "without an empty one: its free slots are gone", growth: 1,
			machines: map[string][2]int{"a": {4, 2}, "b": {3, 1}, "c": {0, 2}}, without: "c", want: 4 + 2 - 3},
		{name: "without the only one with replicas: growth must fit elsewhere", growth: 2,
			machines: map[string][2]int{"a": {4, 2}, "c": {0, 9}}, without: "a", want: 2 + 4 - 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := surveyOf(fleet, c.growth, c.machines)
			if got := s.missing(fleet[c.without]); got != c.want {
				t.Errorf("missing %d, want %d", got, c.want)
			}
		})
	}
}

func TestMissingHeadroomWithoutServices(t *testing.T) {
	s := surveyOf(nil, 3, nil)
	s.service = nil
	if got := s.missing(nil); got != 0 {
		t.Errorf("missing %d without a service", got)
	}
}

func TestMissingHeadroomWithoutAnEmptyMachine(t *testing.T) {
	fleet := fleetOf("large", "b", "empty")
	s := surveyOf(fleet, 1, map[string][2]int{"large": {4, 2}, "b": {3, 1}, "empty": {0, 5}})
	if got, want := s.missingWithout(fleet["large"], fleet["empty"]), 3+1+4-1; got != want {
		t.Errorf("missing %d, want %d", got, want)
	}
	if got, want := s.missing(fleet["large"]), 3+1+4-6; got != want {
		t.Errorf("missingWithout changed the survey: missing %d afterwards, want %d", got, want)
	}
}

// TestRemoveFromHeadroom checks that the free slots of a removed machine no longer count, while its
// replicas, which still run there, count as before.
func TestRemoveFromHeadroom(t *testing.T) {
	fleet := fleetOf("a", "b", "c")
	machines := map[string][2]int{"a": {4, 6}, "b": {5, 1}, "c": {0, 3}}
	for _, c := range []struct {
		removed string
		left    map[string][2]int
	}{
		{"a", map[string][2]int{"a": {4, 0}, "b": {5, 1}, "c": {0, 3}}},
		{"b", map[string][2]int{"a": {4, 6}, "b": {5, 0}, "c": {0, 3}}},
		{"c", map[string][2]int{"a": {4, 6}, "b": {5, 1}}},
	} {
		t.Run(c.removed, func(t *testing.T) {
			s, want := surveyOf(fleet, 1, machines), surveyOf(fleet, 1, c.left)
			s.remove(fleet[c.removed])
			for _, without := range []string{"", "a", "b", "c"} {
				if got, want := s.missing(fleet[without]), want.missing(fleet[without]); got != want {
					t.Errorf("without %q: missing %d, want %d", without, got, want)
				}
			}
		})
	}
}
