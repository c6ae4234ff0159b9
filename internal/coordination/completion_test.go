package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// bitmapOf is a bitmap with some tasks.
func bitmapOf(size int, tasks ...int) *workload.Bitmap {
	b := workload.NewBitmap(size)
	for _, t := range tasks {
		b.Add(t)
	}
	return b
}

// observed is the completion state of a job of which tasks were seen to complete.
func observed(size int, smallSegments bool, tasks ...int) *completionState {
	s := newCompletionState(size)
	for _, t := range tasks {
		s.observe(t, smallSegments)
	}
	return &s
}

func TestCompletedTasksAreObservedOrStored(t *testing.T) {
	tests := []struct {
		name     string
		observed []int
		stored   *workload.Bitmap
		want     []int
	}{
		{name: "nothing completed", stored: bitmapOf(8)},
		{name: "observed, no record of any", observed: []int{1, 5}, want: []int{1, 5}},
		{name: "stored by a former leader", stored: bitmapOf(8, 2, 3), want: []int{2, 3}},
		{name: "observed and stored since counts once", observed: []int{2, 5}, stored: bitmapOf(8, 2, 3),
			want: []int{2, 3, 5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := observed(8, false, test.observed...)
			if got := s.count(test.stored); got != len(test.want) {
				t.Errorf("count %d, want %d", got, len(test.want))
			}
			for task := range 8 {
				if got := s.taskCompleted(task, test.stored); got != slices.Contains(test.want, task) {
					t.Errorf("task %d: completed %v", task, got)
				}
			}
		})
	}
}

func TestWriteIsPendingOnlyWhileNothingStandsInItsWay(t *testing.T) {
	const now = 10 * micros.Second
	tests := []struct {
		name   string
		change func(s *completionState)
		want   bool
	}{
		{name: "a completed task", change: func(*completionState) {}, want: true},
		{name: "nothing new", change: func(s *completionState) { clear(s.dirtySegments) }},
		{name: "a write in flight", change: func(s *completionState) { s.writeInFlight = true }},
		{name: "just before its time", change: func(s *completionState) { s.nextWriteAt = now + 1 }},
		{name: "at its time", change: func(s *completionState) { s.nextWriteAt = now }, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := observed(8, false, 1)
			test.change(s)
			if got := s.writePending(now); got != test.want {
				t.Errorf("pending %v, want %v", got, test.want)
			}
		})
	}
}

func TestFirstWriteIsDelayedOnce(t *testing.T) {
	s := observed(8, false, 1)
	if !s.delayFirstWrite(micros.Second) {
		t.Fatal("the first write is not delayed")
	}
	due := micros.Second + completedWriteInterval
	if s.writePending(due-1) || !s.writePending(due) {
		t.Errorf("pending before %d or not then", due)
	}
	if s.delayFirstWrite(due) {
		t.Error("it is delayed again")
	}
}

func TestNextWriteHoldsDirtySegmentsInOrder(t *testing.T) {
	const size = 3 * workload.SmallSegmentTasks
	first, second, third := workload.Segment(0, true), workload.Segment(workload.SmallSegmentTasks, true),
		workload.Segment(2*workload.SmallSegmentTasks, true)
	s := observed(size, true, 2*workload.SmallSegmentTasks, 7, workload.SmallSegmentTasks+1)
	tests := []struct {
		name        string
		maxSegments int
		want        []int
	}{
		{name: "all fit", maxSegments: 12, want: []int{first, second, third}},
		{name: "as many as fit", maxSegments: 2, want: []int{first, second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := s.nextWrite(bitmapOf(size, 8), test.maxSegments)
			if !slices.Equal(w.segments, test.want) {
				t.Errorf("segments %v, want %v", w.segments, test.want)
			}
			if !w.includes(7) || !w.includes(8) {
				t.Error("it lacks a task that was observed, or one that is stored already")
			}
			if w.includes(9) {
				t.Error("it has a task that is not completed")
			}
			if got := w.includes(2 * workload.SmallSegmentTasks); got != slices.Contains(test.want, third) {
				t.Errorf("task of the third segment: %v", got)
			}
		})
	}
}

func TestSegmentIsCleanOnceAllOfItIsPersisted(t *testing.T) {
	const now = 10 * micros.Second
	tests := []struct {
		name          string
		persisted     bool
		meanwhile     []int
		wantDirty     bool
		wantNextWrite micros.Time
	}{
		{name: "persisted", persisted: true, wantNextWrite: now + completedWriteInterval},
		{name: "refused", wantDirty: true, wantNextWrite: now + completedRetryInterval},
		{name: "another task completed meanwhile", persisted: true, meanwhile: []int{2}, wantDirty: true,
			wantNextWrite: now + completedWriteInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := observed(8, false, 1)
			w := s.nextWrite(nil, 12)
			s.writeInFlight = true
			for _, task := range test.meanwhile {
				s.observe(task, false)
			}
			s.writeEnded(w, test.persisted, now)
			if s.writeInFlight {
				t.Error("the write is still in flight")
			}
			if dirty := len(s.dirtySegments) > 0; dirty != test.wantDirty {
				t.Errorf("dirty %v, want %v", dirty, test.wantDirty)
			}
			if s.nextWriteAt != test.wantNextWrite {
				t.Errorf("next write at %d, want %d", s.nextWriteAt, test.wantNextWrite)
			}
			if s.count(nil) != 1+len(test.meanwhile) {
				t.Error("a completed task was forgotten before the cache shows it")
			}
		})
	}
}

func TestNothingIsDirtyOnceTheJobIsDone(t *testing.T) {
	s := observed(2, false, 0, 1)
	w := completedWrite{jobDone: true}
	if !w.includes(0) || !w.includes(1) {
		t.Error("the write of the end of the job lacks a task")
	}
	s.writeEnded(w, true, micros.Second)
	if len(s.dirtySegments) > 0 {
		t.Errorf("dirty: %v", s.dirtySegments)
	}
}
