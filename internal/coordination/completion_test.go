package coordination

import (
	"slices"
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// bitmapOf returns a bitmap of the given size with the given tasks.
func bitmapOf(size int, tasks ...int) *workload.Bitmap {
	b := workload.NewBitmap(size)
	for _, t := range tasks {
		b.Add(t)
	}
	return b
}

// newObservedState returns the completion state of a job with tasks that were observed to complete.
func newObservedState(size int, smallSegments bool, tasks ...int) *completionState {
	s := newCompletionState(size)
	for _, t := range tasks {
		s.observe(t, smallSegments)
	}
	return &s
}

func TestCompletedTasksIncludeObservedAndStored(t *testing.T) {
	tests := []struct {
		name     string
		observed []int
		stored   *workload.Bitmap
		want     []int
	}{
		{name: "nothing completed", stored: bitmapOf(8)},
		{name: "observed, none stored", observed: []int{1, 5}, want: []int{1, 5}},
		{name: "stored by a previous leader", stored: bitmapOf(8, 2, 3), want: []int{2, 3}},
		{name: "observed and stored task counts once", observed: []int{2, 5}, stored: bitmapOf(8, 2, 3),
			want: []int{2, 3, 5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newObservedState(8, false, test.observed...)
			if got := s.count(test.stored); got != len(test.want) {
				t.Errorf("got count %d, want %d", got, len(test.want))
			}
			for task := range 8 {
				if got := s.taskCompleted(task, test.stored); got != slices.Contains(test.want, task) {
					t.Errorf("task %d: got completed %v, want %v", task, got, !got)
				}
			}
		})
	}
}

func TestWriteDue(t *testing.T) {
	const now = 10 * micros.Second
	tests := []struct {
		name   string
		change func(s *completionState)
		want   bool
	}{
		{name: "completed task", change: func(*completionState) {}, want: true},
		{name: "no dirty segment", change: func(s *completionState) { clear(s.dirtySegments) }},
		{name: "write in flight", change: func(s *completionState) { s.writeInFlight = true }},
		{name: "just before the next write time", change: func(s *completionState) { s.nextWriteAt = now + 1 }},
		{name: "at the next write time", change: func(s *completionState) { s.nextWriteAt = now }, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newObservedState(8, false, 1)
			test.change(s)
			if got := s.writeDue(now); got != test.want {
				t.Errorf("got due %v, want %v", got, test.want)
			}
		})
	}
}

func TestFirstWriteIsDelayedOnce(t *testing.T) {
	s := newObservedState(8, false, 1)
	if !s.delayFirstWrite(micros.Second) {
		t.Fatal("first write was not delayed")
	}
	due := micros.Second + completedWriteInterval
	if s.writeDue(due-1) || !s.writeDue(due) {
		t.Errorf("write is due before %d, or not due at that time", due)
	}
	if s.delayFirstWrite(due) {
		t.Error("write was delayed a second time")
	}
}

func TestNextWriteContainsDirtySegmentsInOrder(t *testing.T) {
	const size = 3 * workload.SmallSegmentTasks
	first, second, third := workload.Segment(0, true), workload.Segment(workload.SmallSegmentTasks, true),
		workload.Segment(2*workload.SmallSegmentTasks, true)
	s := newObservedState(size, true, 2*workload.SmallSegmentTasks, 7, workload.SmallSegmentTasks+1)
	tests := []struct {
		name        string
		maxSegments int
		want        []int
	}{
		{name: "all segments fit", maxSegments: 12, want: []int{first, second, third}},
		{name: "limited by maxSegments", maxSegments: 2, want: []int{first, second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := s.nextWrite(bitmapOf(size, 8), test.maxSegments)
			if !slices.Equal(w.segments, test.want) {
				t.Errorf("got segments %v, want %v", w.segments, test.want)
			}
			if !w.includes(7) || !w.includes(8) {
				t.Error("write lacks an observed task or a task that was already stored")
			}
			if w.includes(9) {
				t.Error("write includes a task that is not completed")
			}
			if got := w.includes(2 * workload.SmallSegmentTasks); got != slices.Contains(test.want, third) {
				t.Errorf("write includes task of third segment: %v, want %v", got, !got)
			}
		})
	}
}

func TestSegmentIsCleanOnceFullyPersisted(t *testing.T) {
	const now = 10 * micros.Second
	tests := []struct {
		name          string
		persisted     bool
		meanwhile     []int
		wantDirty     bool
		wantNextWrite micros.Time
	}{
		{name: "persisted", persisted: true, wantNextWrite: now + completedWriteInterval},
		{name: "rejected", wantDirty: true, wantNextWrite: now + completedRetryInterval},
		{name: "another task completed while the write was in flight", persisted: true, meanwhile: []int{2}, wantDirty: true,
			wantNextWrite: now + completedWriteInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newObservedState(8, false, 1)
			w := s.nextWrite(nil, 12)
			s.writeInFlight = true
			for _, task := range test.meanwhile {
				s.observe(task, false)
			}
			s.finishWrite(w, test.persisted, now)
			if s.writeInFlight {
				t.Error("write is still marked as in flight")
			}
			if dirty := len(s.dirtySegments) > 0; dirty != test.wantDirty {
				t.Errorf("got dirty %v, want %v", dirty, test.wantDirty)
			}
			if s.nextWriteAt != test.wantNextWrite {
				t.Errorf("got next write at %d, want %d", s.nextWriteAt, test.wantNextWrite)
			}
			if s.count(nil) != 1+len(test.meanwhile) {
				t.Error("a completed task was dropped before the cache contains it")
			}
		})
	}
}

func TestNoSegmentIsDirtyOnceJobIsDone(t *testing.T) {
	s := newObservedState(2, false, 0, 1)
	w := completedWrite{jobDone: true}
	if !w.includes(0) || !w.includes(1) {
		t.Error("write that marks the job as done lacks a task")
	}
	s.finishWrite(w, true, micros.Second)
	if len(s.dirtySegments) > 0 {
		t.Errorf("got dirty segments %v, want none", s.dirtySegments)
	}
}
