package workload

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"
)

const (
	// LargeSegmentTasks is how many tasks' finished ranges one key holds.
	LargeSegmentTasks = 1024
	// LargeSegmentBytes is what a chunk takes at worst, quotes included: with every third task
	// missing, the text has some 8 bytes ("600-601,") for each of them.
	LargeSegmentBytes = LargeSegmentTasks/3*8 + 64
	// SmallSegmentTasks is the same for a part, which fits where a chunk does not: parts are
	// numbered from FirstSmallSegment on, and both kinds may hold tasks of one job.
	SmallSegmentTasks = 256
	// FirstSmallSegment is the number of the first part, above those of all chunks.
	FirstSmallSegment = 1 << 20
)

// Segment is the chunk, or the part, that a task belongs to.
func Segment(task int, parts bool) int {
	if parts {
		return FirstSmallSegment + task/SmallSegmentTasks
	}
	return task / LargeSegmentTasks
}

// segmentBounds is the first task of a chunk or part, and how many it has.
func segmentBounds(unit int) (first, count int) {
	if unit >= FirstSmallSegment {
		return (unit - FirstSmallSegment) * SmallSegmentTasks, SmallSegmentTasks
	}
	return unit * LargeSegmentTasks, LargeSegmentTasks
}

// InSegment tells whether a task belongs to a chunk or part.
func InSegment(task, unit int) bool {
	first, count := segmentBounds(unit)
	return task >= first && task < first+count
}

// Bitmap is a set of task numbers.
type Bitmap struct {
	words []uint64
	n     int
}

// NewBitmap returns an empty set of numbers below size.
func NewBitmap(size int) *Bitmap { return &Bitmap{words: make([]uint64, (size+63)/64)} }

// Has tells whether i is in the set.
func (s *Bitmap) Has(i int) bool {
	return i >= 0 && i/64 < len(s.words) && s.words[i/64]&(1<<(i%64)) != 0
}

// Add puts i into the set and tells whether it is new there.
func (s *Bitmap) Add(i int) bool {
	if i < 0 || i/64 >= len(s.words) || s.Has(i) {
		return false
	}
	s.words[i/64] |= 1 << (i % 64)
	s.n++
	return true
}

// Remove takes i out of the set.
func (s *Bitmap) Remove(i int) {
	if s.Has(i) {
		s.words[i/64] &^= 1 << (i % 64)
		s.n--
	}
}

// Len is how many numbers the set has.
func (s *Bitmap) Len() int { return s.n }

// Next is the smallest number in the set that is at least i, or -1.
func (s *Bitmap) Next(i int) int {
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
func (s *Bitmap) Ranges(unit int) string {
	var b strings.Builder
	lo, count := segmentBounds(unit)
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
func (s *Bitmap) AddRanges(unit int, text string) error {
	lo, count := segmentBounds(unit)
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
