// Package admission decides, under overload, which submissions are admitted and which pending work
// goes next, so that every team and class gets its fair share and every controller decides alike. It
// is pure computation: no clock, no I/O.
package admission

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Flow is what gets a fair share: the jobs of one class of one team.
type Flow struct {
	Team  string
	Class string
}

// restName stands for all teams, or all classes of a team, that have no entry of their own.
// It cannot be the name of a class or team in a submission: those are not empty.
const restName = ""

// TeamRest is the flow that the classes of a team share which have no entry of their own.
func (f Flow) TeamRest() Flow { return Flow{f.Team, restName} }

// Rest is the flow shared by everything that has no entry of its own.
var Rest = Flow{restName, restName}

// Compare orders flows by team and class.
func (f Flow) Compare(g Flow) int {
	return cmp.Or(cmp.Compare(f.Team, g.Team), cmp.Compare(f.Class, g.Class))
}

// keyBits is the length of a flow's key: short, since a record has one for every flow. Two
// flows of the same key would share a window, which is harmless.
const keyBits = 48

// Key is the flow's name in an epoch's record.
func (f Flow) Key() string {
	return fmt.Sprintf("%012x", xxhash.Sum64String(f.Team+"\x00"+f.Class)>>(64-keyBits))
}

// MaxFlows is how many flows are distinguished at most; those beyond share one of their team.
const MaxFlows = 256

// Table distinguishes flows, within a bound on their number: classes come with submissions, so a
// user could make up any number of them. Each team has an equal part of the bound, so that a team
// that does so takes no entries from others; its classes beyond that share the team's rest, and
// teams beyond the bound share one flow.
type Table struct {
	classesPerTeam int
	classes        map[string]map[string]bool // by team
}

// NewTable returns a table for the flows of a number of teams.
func NewTable(teams int) *Table {
	return &Table{classesPerTeam: max(1, MaxFlows/max(1, teams)-1), classes: map[string]map[string]bool{}}
}

// Keep starts over with the flows that are still in use, so that classes which are gone leave their
// entries to others.
func (t *Table) Keep(used []Flow) {
	clear(t.classes)
	for _, f := range used {
		if f.Class != restName {
			t.Resolve(f)
		}
	}
}

// Resolve returns the flow under which jobs of a flow are counted, and enters it if it is new.
func (t *Table) Resolve(f Flow) Flow {
	classes := t.classes[f.Team]
	if classes == nil {
		if len(t.classes) >= MaxFlows/2 {
			return Rest
		}
		classes = map[string]bool{}
		t.classes[f.Team] = classes
	}
	if classes[f.Class] {
		return f
	}
	if len(classes) >= t.classesPerTeam {
		return f.TeamRest()
	}
	classes[f.Class] = true
	return f
}
