package bookkeeping

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"
)

const (
	// ChunkTasks is how many tasks' finished ranges one key holds.
	ChunkTasks = 1024
	// ChunkBytes is what a chunk takes at worst, quotes included: with every third task
	// missing, the text has some 8 bytes ("600-601,") for each of them.
	ChunkBytes = ChunkTasks/3*8 + 64
	// PartTasks is the same for a part, which fits where a chunk does not: parts are
	// numbered from FirstPart on, and both kinds may hold tasks of one job.
	PartTasks = 256
	// FirstPart is the number of the first part, above those of all chunks.
	FirstPart = 1 << 20
)

// Unit is the chunk, or the part, that a task belongs to.
func Unit(task int, parts bool) int {
	if parts {
		return FirstPart + task/PartTasks
	}
	return task / ChunkTasks
}

// unitRange is the first task of a chunk or part, and how many it has.
func unitRange(unit int) (first, count int) {
	if unit >= FirstPart {
		return (unit - FirstPart) * PartTasks, PartTasks
	}
	return unit * ChunkTasks, ChunkTasks
}

// InUnit tells whether a task belongs to a chunk or part.
func InUnit(task, unit int) bool {
	first, count := unitRange(unit)
	return task >= first && task < first+count
}

// TaskSet is a set of task numbers.
type TaskSet struct {
	words []uint64
	n     int
}

// NewTaskSet returns an empty set of numbers below size.
func NewTaskSet(size int) *TaskSet { return &TaskSet{words: make([]uint64, (size+63)/64)} }

// Has tells whether i is in the set.
func (s *TaskSet) Has(i int) bool {
	return i >= 0 && i/64 < len(s.words) && s.words[i/64]&(1<<(i%64)) != 0
}

// Add puts i into the set and tells whether it is new there.
func (s *TaskSet) Add(i int) bool {
	if i < 0 || i/64 >= len(s.words) || s.Has(i) {
		return false
	}
	s.words[i/64] |= 1 << (i % 64)
	s.n++
	return true
}

// Remove takes i out of the set.
func (s *TaskSet) Remove(i int) {
	if s.Has(i) {
		s.words[i/64] &^= 1 << (i % 64)
		s.n--
	}
}

// Len is how many numbers the set has.
func (s *TaskSet) Len() int { return s.n }

// Next is the smallest number in the set that is at least i, or -1.
func (s *TaskSet) Next(i int) int {
	for w := i / 64; w < len(s.words); w++ {
		word := s.words[w]
		if w == i/64 {
			word &= ^uint64(0) << (i % 64)
		}
		if word != 0 {
			return w*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// Ranges writes the members of a chunk or part as text, relative to it: "0-5,7".
func (s *TaskSet) Ranges(unit int) string {
	var b strings.Builder
	lo, count := unitRange(unit)
	for i := lo; i < lo+count; {
		first := s.Next(i)
		if first < 0 || first >= lo+count {
			break
		}
		last := first
		for last+1 < lo+count && s.Has(last+1) {
			last++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(first - lo))
		if last > first {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(last - lo))
		}
		i = last + 1
	}
	return b.String()
}

// AddRanges adds what Ranges wrote of a chunk or part.
func (s *TaskSet) AddRanges(unit int, text string) error {
	lo, count := unitRange(unit)
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		a, b, two := strings.Cut(part, "-")
		first, err := strconv.Atoi(a)
		last := first
		if err == nil && two {
			last, err = strconv.Atoi(b)
		}
		if err != nil || first < 0 || last < first || last >= count {
			return fmt.Errorf("finished ranges: %q", part)
		}
		for i := first; i <= last; i++ {
			s.Add(lo + i)
		}
	}
	return nil
}
