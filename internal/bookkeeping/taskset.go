package bookkeeping

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"
)

// ChunkTasks is how many tasks' finished ranges one key holds. At worst, every
// second task is finished, and the text takes 5 bytes for each: well below the
// value limits in use.
const ChunkTasks = 1024

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

// Ranges writes the members of chunk c as text, relative to the chunk: "0-5,7".
func (s *TaskSet) Ranges(c int) string {
	var b strings.Builder
	lo := c * ChunkTasks
	for i := lo; i < lo+ChunkTasks; {
		first := s.Next(i)
		if first < 0 || first >= lo+ChunkTasks {
			break
		}
		last := first
		for last+1 < lo+ChunkTasks && s.Has(last+1) {
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

// AddRanges adds what Ranges wrote of chunk c.
func (s *TaskSet) AddRanges(c int, text string) error {
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
		if err != nil || first < 0 || last < first || last >= ChunkTasks {
			return fmt.Errorf("finished ranges: %q", part)
		}
		for i := first; i <= last; i++ {
			s.Add(c*ChunkTasks + i)
		}
	}
	return nil
}
