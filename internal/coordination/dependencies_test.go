package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

func TestDependencyLookupsAreLimited(t *testing.T) {
	const now = 10 * micros.Second
	s := newDependencyState()
	for _, id := range []string{"c", "a", "b"} {
		s.addUnresolved(id)
	}
	var sent []string
	send := func(now micros.Time) {
		for _, id := range s.lookupCandidates() {
			if s.beginLookup(id, now) {
				sent = append(sent, id)
			}
		}
	}
	steps := []struct {
		name string
		act  func()
		want []string
	}{
		{name: "as many as allowed in flight, in order", act: func() { send(now) }, want: []string{"a", "b"}},
		{name: "no further lookup while these are in flight", act: func() { send(now) }},
		{name: "next lookup once one has ended", act: func() { s.endLookup(); send(now) }, want: []string{"c"}},
		{name: "not repeated within the interval", act: func() {
			s.endLookup()
			s.endLookup()
			s.addUnresolved("a") // does not move the next lookup forward
			send(now + dependencyLookupInterval - 1)
		}},
		{name: "repeated after the interval", act: func() { send(now + dependencyLookupInterval) }, want: []string{"a", "b"}},
	}
	for _, step := range steps {
		sent = nil
		step.act()
		if !slices.Equal(sent, step.want) {
			t.Fatalf("%s: got lookups of %v, want %v", step.name, sent, step.want)
		}
	}
}

func TestNextCancellationsContainsActiveCachedJobs(t *testing.T) {
	cached := map[string]*storage.JobEntry{
		"b":    {Job: &workload.Job{ID: "b"}},
		"a":    {Job: &workload.Job{ID: "a"}},
		"done": {Job: &workload.Job{ID: "done", Phase: workload.Done}},
	}
	tests := []struct {
		name      string
		cancelled []string
		limit     int
		want      []string
		wantLeft  []string
	}{
		{name: "in order", cancelled: []string{"b", "a"}, limit: 12, want: []string{"a", "b"}, wantLeft: []string{"a", "b"}},
		{name: "limited", cancelled: []string{"b", "a"}, limit: 1, want: []string{"a"}, wantLeft: []string{"a", "b"}},
		{name: "ended jobs are dropped", cancelled: []string{"done", "a"}, limit: 12,
			want: []string{"a"}, wantLeft: []string{"a"}},
		{name: "archived jobs are dropped", cancelled: []string{"archived"}, limit: 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newDependencyState()
			for _, id := range test.cancelled {
				s.addCancelled(id)
			}
			var got []string
			for _, entry := range s.nextCancellations(cached, test.limit) {
				got = append(got, entry.Job.ID)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got cancellations of %v, want %v", got, test.want)
			}
			if left := sortedKeys(s.cancelled); !slices.Equal(left, test.wantLeft) {
				t.Errorf("got remaining jobs %v, want %v", left, test.wantLeft)
			}
		})
	}
}

func TestCancellationWriteDue(t *testing.T) {
	const now = 10 * micros.Second
	tests := []struct {
		name   string
		change func(s *dependencyState)
		want   bool
	}{
		{name: "cancelled job", change: func(*dependencyState) {}, want: true},
		{name: "nothing to write", change: func(s *dependencyState) { clear(s.cancelled) }},
		{name: "write in flight", change: func(s *dependencyState) { s.writeInFlight = true }},
		{name: "just before the next write time", change: func(s *dependencyState) { s.nextWriteAt = now + 1 }},
		{name: "at the next write time", change: func(s *dependencyState) { s.nextWriteAt = now }, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newDependencyState()
			s.addCancelled("a")
			test.change(&s)
			if got := s.writeDue(now); got != test.want {
				t.Errorf("got due %v, want %v", got, test.want)
			}
		})
	}
}
