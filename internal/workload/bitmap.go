package workload

import "math/bits"

// Bitmap is a set of task numbers with a fixed upper bound.
type Bitmap struct {
	words []uint64
	count int
}

// NewBitmap returns an empty set of numbers below size.
func NewBitmap(size int) *Bitmap { return &Bitmap{words: make([]uint64, (size+63)/64)} }

// Has reports whether i is in the set.
func (b *Bitmap) Has(i int) bool {
	return i >= 0 && i/64 < len(b.words) && b.words[i/64]&(1<<(i%64)) != 0
}

// Add adds i to the set and reports whether it was added: false if i is present or out of range.
func (b *Bitmap) Add(i int) bool {
	if i < 0 || i/64 >= len(b.words) || b.Has(i) {
		return false
	}
	b.words[i/64] |= 1 << (i % 64)
	b.count++
	return true
}

// Remove removes i from the set.
func (b *Bitmap) Remove(i int) {
	if b.Has(i) {
		b.words[i/64] &^= 1 << (i % 64)
		b.count--
	}
}

// Len returns the number of elements in the set.
func (b *Bitmap) Len() int { return b.count }

// Next returns the smallest element that is at least i, or -1 if there is none.
func (b *Bitmap) Next(i int) int {
	for w := i / 64; w < len(b.words); w++ {
		word := b.words[w]
		if w == i/64 {
			word &= ^uint64(0) << (i % 64)
		}
		if word != 0 {
			return w*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}
