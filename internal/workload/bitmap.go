package workload

import "math/bits"

// Bitmap is a set of task numbers.
type Bitmap struct {
	words []uint64
	count int
}

// NewBitmap returns an empty set of numbers below size.
func NewBitmap(size int) *Bitmap { return &Bitmap{words: make([]uint64, (size+63)/64)} }

// Has tells whether i is in the set.
func (b *Bitmap) Has(i int) bool {
	return i >= 0 && i/64 < len(b.words) && b.words[i/64]&(1<<(i%64)) != 0
}

// Add puts i into the set and tells whether it is new there.
func (b *Bitmap) Add(i int) bool {
	if i < 0 || i/64 >= len(b.words) || b.Has(i) {
		return false
	}
	b.words[i/64] |= 1 << (i % 64)
	b.count++
	return true
}

// Remove takes i out of the set.
func (b *Bitmap) Remove(i int) {
	if b.Has(i) {
		b.words[i/64] &^= 1 << (i % 64)
		b.count--
	}
}

// Len is how many numbers the set has.
func (b *Bitmap) Len() int { return b.count }

// Next is the smallest number in the set that is at least i, or -1.
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
