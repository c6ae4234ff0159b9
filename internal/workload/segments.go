package workload

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// LargeSegmentTasks is the number of tasks in a large segment.
	LargeSegmentTasks = 1024
	// LargeSegmentBytes is the maximum encoded size of the completed tasks in a large segment,
	// including quotes. In the worst case every third task is missing, which takes about 8 bytes
	// ("600-601,") for each missing task.
	LargeSegmentBytes = LargeSegmentTasks/3*8 + 64
	// SmallSegmentTasks is the number of tasks in a small segment, which is used where a large one
	// does not fit into a record. A job may have completed tasks in segments of both sizes.
	SmallSegmentTasks = 256
	// FirstSmallSegment is the number of the first small segment, above those of all large ones.
	FirstSmallSegment = 1 << 20
)

// Segment returns the number of the large or small segment that a task belongs to.
func Segment(task int, small bool) int {
	if small {
		return FirstSmallSegment + task/SmallSegmentTasks
	}
	return task / LargeSegmentTasks
}

// segmentBounds returns the first task of a segment and the number of its tasks.
func segmentBounds(segment int) (first, count int) {
	if segment >= FirstSmallSegment {
		return (segment - FirstSmallSegment) * SmallSegmentTasks, SmallSegmentTasks
	}
	return segment * LargeSegmentTasks, LargeSegmentTasks
}

// InSegment reports whether a task belongs to a segment.
func InSegment(task, segment int) bool {
	first, count := segmentBounds(segment)
	return task >= first && task < first+count
}

// Ranges encodes the elements in a segment as ranges relative to its first task, such as "0-5,7".
func (b *Bitmap) Ranges(segment int) string {
	var text strings.Builder
	start, count := segmentBounds(segment)
	end := start + count
	for task := start; task < end; {
		first := b.Next(task)
		if first < 0 || first >= end {
			break
		}
		last := first
		for last+1 < end && b.Has(last+1) {
			last++
		}
		if text.Len() > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(first - start))
		if last > first {
			text.WriteByte('-')
			text.WriteString(strconv.Itoa(last - start))
		}
		task = last + 1
	}
	return text.String()
}

// AddRanges adds the elements of a segment that Ranges encoded.
func (b *Bitmap) AddRanges(segment int, text string) error {
	start, count := segmentBounds(segment)
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		first, last, err := parseRange(part)
		if err != nil || first < 0 || last < first || last >= count {
			return fmt.Errorf("completed tasks: invalid range %q", part)
		}
		for task := first; task <= last; task++ {
			b.Add(start + task)
		}
	}
	return nil
}

// parseRange parses "7" or "0-5".
func parseRange(text string) (first, last int, err error) {
	before, after, isRange := strings.Cut(text, "-")
	if first, err = strconv.Atoi(before); err != nil || !isRange {
		return first, first, err
	}
	last, err = strconv.Atoi(after)
	return first, last, err
}
