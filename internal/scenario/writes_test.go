package scenario

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pipitlatch/internal/storage"
)

// writeKinds are all kinds of changes that controllers make in the key-value store, with the
// size that each reaches at its largest in the deployments below: bytes of its value, and
// changes in one transaction. A list of needed jobs, a block, ranges and catalog are as long
// as the limits let them be; the others are bounded by themselves.
var writeKinds = map[string]struct{ value, operations int }{
	"set leader":    {value: 20},
	"set node":      {value: 20},
	"set queue":     {value: 30},
	"set format":    {value: 5},
	"set block":     {value: 1200},
	"set job":       {value: 1750},
	"set ~over":     {value: 60, operations: 4},
	"set fin":       {value: 600, operations: 4},
	"set wait":      {value: 880, operations: 4},
	"set types":     {value: 1800, operations: 3},
	"set catalog":   {value: 1700},
	"set admission": {value: 1400},
	"delete block":  {operations: 1},
	"delete fin":    {operations: 4},
	"delete job":    {operations: 4},
	"delete wait":   {operations: 4},
}

// keysNeverSet are methods of storage.Keys that name no record: prefixes, and the key that
// the barrier reads.
var keysNeverSet = map[string]bool{"ReadBarrier": true, "CompletedPrefix": true, "ArchivedJobPrefix": true}

// keyOfKind calls the methods of storage.Keys by name, to find the kind of their records.
func keyOfKind(t *testing.T) map[string]string {
	t.Helper()
	keys := reflect.ValueOf(storage.Keys{Prefix: "pl/"})
	kinds := map[string]string{}
	for i := range keys.NumMethod() {
		name, method := keys.Type().Method(i).Name, keys.Method(i)
		var args []reflect.Value
		for k := range method.Type().NumIn() {
			args = append(args, reflect.Zero(method.Type().In(k)))
		}
		kinds[name] = recordKind(method.Call(args)[0].String())
	}
	return kinds
}

// largestWrites are deployments in which every kind of write is at its largest.
var largestWrites = map[string]string{
	"arrays and lists": `cluster seed=5 next=yes cloud_rps=20 memory=0.5 lease=6 cancel=20 heartbeat=1 rps=300 write_rps=60
type small cores=4 ram=32 capacity=160 spot_capacity=10 boot=10
type large n=30 cores=64 ram=512 capacity=1 spot_capacity=0 boot=10
machine small n=60 zone=a
at 0 store limits write_rps=60
at 0 submit wk-000001 jobs=2 shape=service rank=production cores=4 types=small
at 0 submit wk-000005 jobs=2 tasks=70 cores=4 runs=30 types=small
at 5 submit wk-000010 tasks=1030 cores=0.1 ram=0.1 runs=4 third_task_factor=20
at 5 submit wk-001000 jobs=400 every=0.1 cores=0.1 ram=0.1 runs=60
at 48 submit wk-002000 tasks=2 cores=1 ram=1 runs=3 depends_on=wk-001000..1399
at 48 submit wk-002001 tasks=2 cores=1 ram=1 runs=3 depends_on=wk-001000..1136
at 50 submit wk-000011 tasks=1030 cores=0.1 ram=0.1 runs=4 third_task_factor=20
at 60 cancel wk-000011
at 100 crash partition-leader back=2
until 400`,
	"many flows": `cluster seed=5 next=yes fair=yes connections=2000 write_rps=18 teams=alpha:0:0,beta:0:0,gamma:0:0
type small cores=8 ram=32 capacity=6 spot_capacity=0 boot=5 fetch=5
at 0 store limits write_rps=18
at 10 submit wk-001000 jobs=900 every=0.03 class=a classes=70 cores=1 ram=1 runs=1 team=alpha
at 10 submit wk-002000 jobs=900 every=0.03 class=b classes=50 cores=1 ram=1 runs=1 team=beta
until 60`,
	"one catalog": `cluster seed=5 next=yes
type small n=12 cores=8 ram=32 capacity=2 spot_capacity=2
at 0 store limits
at 0 submit wk-000001 jobs=2 tasks=4 cores=4 runs=10
until 120`,
}

// TestEveryWriteFits plays deployments in which every kind of write is at its largest, with a
// key-value store that enforces the smaller limits from the start: operations, conditions,
// values and 64 KiB. A kind of key or write that the table does not name fails it.
func TestEveryWriteFits(t *testing.T) {
	for name, kind := range keyOfKind(t) {
		if _, ok := writeKinds["set "+kind]; !ok && !keysNeverSet[name] {
			t.Errorf("storage.Keys.%s: no row for its records", name)
		}
	}
	largest := map[string]writeSize{}
	for name, text := range largestWrites {
		w := playWorld(t, text)
		for _, b := range w.broken {
			t.Errorf("%s: rule broken: %s", name, b)
		}
		if w.store.tooLarge > 0 {
			t.Errorf("%s: %d requests were refused for their size", name, w.store.tooLarge)
		}
		for kind, size := range w.store.largest {
			largest[kind] = largest[kind].max(size)
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(largest)) {
		t.Logf("%-14s %s", kind, fmt.Sprintf("%+v", largest[kind]))
		if _, ok := writeKinds[kind]; !ok {
			t.Errorf("%s: no row for it", kind)
		}
	}
	for kind, want := range writeKinds {
		if got := largest[kind]; got.value < want.value || got.operations < want.operations {
			t.Errorf("%s: is not at its largest: %+v", kind, got)
		}
	}
}

// playWorld plays a scenario's text once and returns its world.
func playWorld(t *testing.T, text string) *World {
	t.Helper()
	s, err := parseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	w, err := s.play("", uint64(s.cluster.number("seed", 1)), func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	return w
}
