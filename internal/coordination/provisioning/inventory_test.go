package provisioning

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pipitlatch/internal/micros"
)

func TestTerminatedInstancesAreRemembered(t *testing.T) {
	terminated := NewTerminatedInstances()
	terminated.Confirm("m", 5)
	if !terminated.Contains("m") || terminated.Contains("n") {
		t.Errorf("Contains(m), Contains(n) = %v, %v, want true, false", terminated.Contains("m"), terminated.Contains("n"))
	}
	terminated.Reset()
	if terminated.Contains("m") || len(terminated.Recent(5)) > 0 {
		t.Error("an instance is remembered after a reset")
	}
}

func TestTerminatedInstancesRecent(t *testing.T) {
	terminated := NewTerminatedInstances()
	terminated.Confirm("old", 0)
	terminated.Confirm("b", 2)
	terminated.Confirm("a", 2)
	terminated.Confirm("c", 3)
	for _, test := range []struct {
		name string
		now  micros.Time
		want []string
	}{
		{"the latest first, then by name", 3, []string{"c", "a", "b", "old"}},
		{"until the last instant", terminatedNoticeTTL - 1, []string{"c", "a", "b", "old"}},
		{"no longer", terminatedNoticeTTL, []string{"c", "a", "b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := terminated.Recent(test.now); !slices.Equal(got, test.want) {
				t.Errorf("Recent = %v, want %v", got, test.want)
			}
		})
	}
	for i := range maxTerminatedNotices {
		terminated.Confirm(fmt.Sprintf("m%d", i), 4)
	}
	if got := terminated.Recent(4); len(got) != maxTerminatedNotices || slices.Contains(got, "c") {
		t.Errorf("a message has %d instances, want the latest %d", len(got), maxTerminatedNotices)
	}
}

func TestTerminatedInstancesRecorded(t *testing.T) {
	blocks := map[string]string{"b2": "b", "b1": "b", "c1": "c"}
	blockOf := func(name string) (string, bool) { block, ok := blocks[name]; return block, ok }
	terminated := NewTerminatedInstances()
	for _, name := range []string{"c1", "b2", "b1", "gone"} {
		terminated.Confirm(name, 0)
	}
	want := map[string][]string{"b": {"b1", "b2"}, "c": {"c1"}}
	if got := terminated.Recorded(terminatedTTL, blockOf); !reflect.DeepEqual(got, want) {
		t.Errorf("Recorded = %v, want %v", got, want)
	}
	if !terminated.Contains("gone") {
		t.Error("an instance without a record is forgotten too soon")
	}
	if got := terminated.Recorded(terminatedTTL+1, blockOf); !reflect.DeepEqual(got, want) {
		t.Errorf("Recorded later = %v, want %v", got, want)
	}
	if terminated.Contains("gone") {
		t.Error("an instance without a record is not forgotten")
	}
	if !terminated.Contains("c1") {
		t.Error("an instance that has a record is forgotten")
	}
}

func TestAbsentInstancesObserve(t *testing.T) {
	const timeout = 10
	type list struct {
		now      micros.Time
		listed   []string
		recorded []string
		overdue  []string
	}
	both := []string{"b", "a"}
	tests := []struct {
		name  string
		lists []list
	}{
		{"listed ones are not absent", []list{{0, both, both, nil}, {100, both, both, nil}}},
		{"first absence starts the time", []list{{100, nil, both, nil}, {100 + timeout, nil, both, nil}}},
		{"overdue after the timeout, by name", []list{{0, nil, both, nil}, {timeout + 1, nil, both, []string{"a", "b"}}}},
		{"only those that are absent", []list{{0, nil, both, nil}, {timeout + 1, []string{"a"}, both, []string{"b"}}}},
		{"a list that has it starts anew",
			[]list{{0, nil, both, nil}, {5, both, both, nil}, {timeout + 1, nil, both, nil}}},
		{"a record that went and came back starts anew",
			[]list{{0, nil, both, nil}, {5, nil, nil, nil}, {timeout + 1, nil, both, nil}}},
		{"overdue once, then anew", []list{{0, nil, both, nil}, {timeout + 1, nil, both, []string{"a", "b"}},
			{timeout + 2, nil, both, nil}, {2*timeout + 2, nil, both, nil}, {2*timeout + 3, nil, both, []string{"a", "b"}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			absent := NewAbsentInstances()
			for _, list := range test.lists {
				listed := map[string]bool{}
				for _, name := range list.listed {
					listed[name] = true
				}
				if got := absent.Observe(list.now, timeout, listed, list.recorded); !slices.Equal(got, list.overdue) {
					t.Errorf("Observe at %d = %v, want %v", list.now, got, list.overdue)
				}
			}
		})
	}
}

func TestAbsentInstancesResetStartsAnew(t *testing.T) {
	absent := NewAbsentInstances()
	absent.Observe(0, 10, nil, []string{"a"})
	absent.Reset()
	if got := absent.Observe(11, 10, nil, []string{"a"}); len(got) > 0 {
		t.Errorf("Observe = %v, want none: the time starts anew", got)
	}
}
