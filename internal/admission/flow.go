// Package admission decides under overload which submissions are admitted and which pending work is
// scheduled next, so that every team and class gets its fair share and all controllers decide alike.
// It is pure computation without clock or I/O.
package admission

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Flow is the unit of fair sharing: the jobs of one class of one team.
type Flow struct {
	Team  string
	Class string
}

// restName stands for all teams, or all classes of a team, without an entry of their own. It cannot
// collide with a team or class of a submission, whose names are never empty.
const restName = ""

// TeamRest returns the flow shared by all classes of the team without an entry of their own.
func (f Flow) TeamRest() Flow { return Flow{f.Team, restName} }

// Rest is the flow shared by everything that has neither an entry of its own nor one of its team.
var Rest = Flow{restName, restName}

// Compare orders flows by team and class.
func (f Flow) Compare(g Flow) int {
	return cmp.Or(cmp.Compare(f.Team, g.Team), cmp.Compare(f.Class, g.Class))
}

// keyBits is the length of a flow's key in bits. It is short because an epoch record holds one key per
// window; flows whose keys collide share a window, which is harmless.
const keyBits = 48

// Key returns the hash that identifies the flow in an epoch record.
func (f Flow) Key() string {
	return fmt.Sprintf("%012x", xxhash.Sum64String(f.Team+"\x00"+f.Class)>>(64-keyBits))
}

// MaxFlows is the maximum number of distinct flows; further classes share one flow per team.
const MaxFlows = 256

// Table bounds the number of distinct flows: class names come with submissions, so a user could invent
// any number of them. Each team has an equal part of the bound, so that a team that does so takes no
// entries from others. Its classes beyond that part share the team's TeamRest flow, and teams beyond
// the bound share Rest.
type Table struct {
	classesPerTeam int
	classes        map[string]map[string]bool // by team
}

// NewTable returns a table for the flows of the given number of teams.
func NewTable(teams int) *Table {
	return &Table{classesPerTeam: max(1, MaxFlows/max(1, teams)-1), classes: map[string]map[string]bool{}}
}

// Keep rebuilds the table from the flows still in use, which frees the entries of unused classes.
func (t *Table) Keep(used []Flow) {
	clear(t.classes)
	for _, f := range used {
		if f.Class != restName {
			t.Resolve(f)
		}
	}
}

// Resolve returns the flow under which jobs of f are counted, adding an entry for f if there is room.
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
