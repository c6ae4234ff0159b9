package coordination

import (
	"cmp"
	"container/heap"
)

// preemptionCandidatesKey identifies replicas for which preemption has the same cost on every machine.
type preemptionCandidatesKey struct {
	preemptionKey
	image string
}

// preemptionCandidate is a machine on which a replica fits if other work is stopped.
type preemptionCandidate struct {
	machine *machine
	cost    float64 // of the preemption, in seconds
}

// preemptionHeap is a heap of candidates, the cheapest on top. Many equal replicas may be pending, and a
// search for each of them through all machines would make a planning pass as long as their number.
type preemptionHeap []preemptionCandidate

// Len implements heap.Interface.
func (h preemptionHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h preemptionHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].cost, h[j].cost), cmp.Compare(h[i].machine.id, h[j].machine.id)) < 0
}

// Swap implements heap.Interface.
func (h preemptionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *preemptionHeap) Push(x any) { *h = append(*h, x.(preemptionCandidate)) }

// Pop implements heap.Interface.
func (h *preemptionHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// preemptionCandidates returns the machines on which replicas like those of a service can start if other
// work is stopped. It reports false if the limit of the planning pass allows no further search.
func (p *partitionLeader) preemptionCandidates(key preemptionKey, j *job) (candidates *preemptionHeap, ok bool) {
	withImage := preemptionCandidatesKey{key, j.Image}
	if candidates = p.plan.preemptionCandidates[withImage]; candidates != nil {
		return candidates, true
	}
	if p.plan.preemptionSearches <= 0 {
		return nil, false
	}
	p.plan.preemptionSearches -= len(p.machines)
	candidates = &preemptionHeap{}
	for _, m := range p.machines {
		if !p.acceptsStarts(m) || !j.mayRunOn(m) {
			continue
		}
		if on, enough := p.preemptionOn(m, j); enough {
			*candidates = append(*candidates, preemptionCandidate{m, on.cost})
		}
	}
	heap.Init(candidates)
	p.plan.preemptionCandidates[withImage] = candidates
	return candidates, true
}
