package provisioning

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pipitlatch/internal/micros"
)

func TestTerminatedInstancesContains(t *testing.T) {
	terminated := NewTerminatedInstances()
	terminated.Confirm("m", 5)
	if !terminated.Contains("m") || terminated.Contains("n") {
		t.Errorf("Contains(m), Contains(n) = %v, %v, want true, false", terminated.Contains("m"), terminated.Contains("n"))
	}
	terminated.Reset()
	if terminated.Contains("m") || len(terminated.Recent(5)) > 0 {
		t.Error("instance m is still contained after Reset")
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
		{"most recent first, then by name", 3, []string{"c", "a", "b", "old"}},
		{"just before expiry", terminatedNoticeTTL - 1, []string{"c", "a", "b", "old"}},
		{"expired", terminatedNoticeTTL, []string{"c", "a", "b"}},
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
		t.Errorf("Recent returned %d instances, want the most recent %d", len(got), maxTerminatedNotices)
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
		t.Error("instance without a record removed before terminatedTTL")
	}
	if got := terminated.Recorded(terminatedTTL+1, blockOf); !reflect.DeepEqual(got, want) {
		t.Errorf("Recorded later = %v, want %v", got, want)
	}
	if terminated.Contains("gone") {
		t.Error("instance without a record not removed after terminatedTTL")
	}
	if !terminated.Contains("c1") {
		t.Error("instance with a record removed")
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
		{"listed instances are not absent", []list{{0, both, both, nil}, {100, both, both, nil}}},
		{"first absence starts the timer", []list{{100, nil, both, nil}, {100 + timeout, nil, both, nil}}},
		{"overdue after the timeout, by name", []list{{0, nil, both, nil}, {timeout + 1, nil, both, []string{"a", "b"}}}},
		{"only absent instances are overdue", []list{{0, nil, both, nil}, {timeout + 1, []string{"a"}, both, []string{"b"}}}},
		{"presence in a list resets the timer",
			[]list{{0, nil, both, nil}, {5, both, both, nil}, {timeout + 1, nil, both, nil}}},
		{"removal of the record resets the timer",
			[]list{{0, nil, both, nil}, {5, nil, nil, nil}, {timeout + 1, nil, both, nil}}},
		{"timer restarts after the timeout", []list{{0, nil, both, nil}, {timeout + 1, nil, both, []string{"a", "b"}},
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

func TestAbsentInstancesResetRestartsTimers(t *testing.T) {
	absent := NewAbsentInstances()
	absent.Observe(0, 10, nil, []string{"a"})
	absent.Reset()
	if got := absent.Observe(11, 10, nil, []string{"a"}); len(got) > 0 {
		t.Errorf("Observe after Reset = %v, want none", got)
	}
}
