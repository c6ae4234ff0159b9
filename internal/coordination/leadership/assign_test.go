package leadership

import (
	"reflect"
	"slices"
	"testing"

	"pipitlatch/internal/storage"
)

// Processes of three members; a1 is an earlier process of the first.
var (
	a1 = storage.Process{Member: "a", Incarnation: "1"}
	a2 = storage.Process{Member: "a", Incarnation: "2"}
	b  = storage.Process{Member: "b", Incarnation: "1"}
	c  = storage.Process{Member: "c", Incarnation: "1"}
)

// partitionLedBy returns the record of a partition with a leader and former leaders.
func partitionLedBy(leader storage.Process, former ...storage.Process) storage.PartitionRecord {
	return storage.PartitionRecord{Leader: leader, FormerLeaders: former}
}

// newCache returns a cache with registered members and partition records.
func newCache(t *testing.T, members []storage.Process, partitions map[int]storage.PartitionRecord) *storage.Cache {
	t.Helper()
	keys := storage.Keys{Prefix: "p/"}
	cache := storage.NewCache(keys)
	put := func(key string, value any) {
		t.Helper()
		item := storage.Item{Key: key, Value: storage.Encode(value), ModRevision: 7}
		if _, _, err := cache.Apply(item); err != nil {
			t.Fatal(err)
		}
	}
	for _, member := range members {
		put(keys.Member(member.Member), member)
	}
	for partition, record := range partitions {
		put(keys.Partition(partition), record)
	}
	return cache
}

type records = map[int]storage.PartitionRecord

var (
	allMembers  = []storage.Process{a2, b, c}
	assignCases = []struct {
		name          string
		members       []storage.Process
		partitions    records
		count         int
		clusterLeader storage.Process
		avoid         []storage.Process
		reach         map[storage.Process]int
		want          []Assignment
	}{
		{name: "nothing before the cluster leader's own registration is in the cache",
			members: []storage.Process{b, c}, count: 1, clusterLeader: a2},
		{name: "nothing while every partition has a live leader",
			members: allMembers, partitions: records{0: partitionLedBy(b), 1: partitionLedBy(b)}, count: 2, clusterLeader: a2},
		{name: "new partitions are spread, the cluster leader first",
			members: allMembers, count: 4, clusterLeader: b,
			want: []Assignment{{0, partitionLedBy(b)}, {1, partitionLedBy(a2)}, {2, partitionLedBy(c)}, {3, partitionLedBy(b)}}},
		{name: "the process that leads the fewest, new assignments included",
			members: allMembers, partitions: records{1: partitionLedBy(b), 2: partitionLedBy(c)}, count: 3, clusterLeader: b,
			want: []Assignment{{0, partitionLedBy(a2)}}},
		{name: "the process that reaches most machines, however many it leads",
			members: allMembers, partitions: records{0: partitionLedBy(c), 1: partitionLedBy(c)}, count: 3, clusterLeader: a2,
			reach: map[storage.Process]int{a2: 3, b: 3, c: 4},
			want:  []Assignment{{2, partitionLedBy(c)}}},
		{name: "a leader that is not registered is kept as a former one",
			members: []storage.Process{a2, b}, partitions: records{0: partitionLedBy(c)}, count: 1, clusterLeader: a2,
			want: []Assignment{{0, partitionLedBy(a2, c)}}},
		{name: "a leader whose member has restarted is dead",
			members: []storage.Process{a2, b}, partitions: records{0: partitionLedBy(a1)}, count: 1, clusterLeader: a2,
			want: []Assignment{{0, partitionLedBy(a2)}}},
		{name: "former leaders are kept once, except dead ones and the new leader",
			members: []storage.Process{a2, b}, partitions: records{0: partitionLedBy(c, a1, b, c)}, count: 1, clusterLeader: b,
			want: []Assignment{{0, partitionLedBy(b, c)}}},
		{name: "a process to avoid loses its partition",
			members: allMembers, partitions: records{0: partitionLedBy(b), 1: partitionLedBy(a2)}, count: 2, clusterLeader: a2,
			avoid: []storage.Process{b},
			want:  []Assignment{{0, partitionLedBy(c, b)}}},
		{name: "a cluster leader to avoid is assigned none",
			members: allMembers, count: 2, clusterLeader: a2, avoid: []storage.Process{a2},
			want: []Assignment{{0, partitionLedBy(b)}, {1, partitionLedBy(c)}}},
		{name: "if all are to be avoided, none is",
			members: allMembers, partitions: records{0: partitionLedBy(b)}, count: 2, clusterLeader: a2, avoid: allMembers,
			want: []Assignment{{1, partitionLedBy(a2)}}},
	}
)

func TestAssign(t *testing.T) {
	for _, test := range assignCases {
		t.Run(test.name, func(t *testing.T) {
			avoid := func(process storage.Process) bool { return slices.Contains(test.avoid, process) }
			reach := func(process storage.Process, _ int) int { return test.reach[process] }
			cache := newCache(t, test.members, test.partitions)
			got := Assign(cache, test.count, test.clusterLeader, avoid, reach)
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("Assign = %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestAssignUsesTheReachPerPartition(t *testing.T) {
	cache := newCache(t, []storage.Process{a2, b}, nil)
	reach := func(process storage.Process, partition int) int {
		if (partition == 0) == (process == b) {
			return 1
		}
		return 0
	}
	got := Assign(cache, 2, a2, func(storage.Process) bool { return false }, reach)
	want := []Assignment{{0, partitionLedBy(b)}, {1, partitionLedBy(a2)}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("Assign = %+v, want %+v", got, want)
	}
}
