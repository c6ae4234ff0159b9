package reachability

import (
	"fmt"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// fakeCore records calls to agents until a test replies to them.
type fakeCore struct {
	now       micros.Time
	calls     []messages.AgentCall
	done      []func(*messages.AgentReply)
	completed int // number of completed rounds
}

func (f *fakeCore) Now() micros.Time { return f.now }

func (f *fakeCore) CallAgent(call messages.AgentCall, done func(*messages.AgentReply)) {
	f.calls = append(f.calls, call)
	f.done = append(f.done, done)
}

// reply completes a call with a heartbeat of a machine. If the machine is empty, the call fails.
func (f *fakeCore) reply(call int, machine string) {
	reply := &messages.AgentReply{}
	if machine != "" {
		reply.Heartbeat = &messages.Heartbeat{Machine: machine}
	}
	f.done[call](reply)
}

func newProbe() (*Probe, *fakeCore) {
	core := &fakeCore{now: 100 * micros.Second}
	return NewProbe(core, func() { core.completed++ }), core
}

func twoZones() []ZoneSample {
	return []ZoneSample{
		{Partition: 3, Zone: "a", Machines: []Endpoint{{"m1", "addr1"}, {"m2", "addr2"}}},
		{Partition: 3, Zone: "b", Machines: []Endpoint{{"m3", "addr3"}}},
	}
}

func TestProbeAsksForHeartbeatsInOrder(t *testing.T) {
	p, core := newProbe()
	p.StartRound(twoZones())
	var want []messages.AgentCall
	for i := 1; i <= 3; i++ {
		want = append(want, messages.AgentCall{
			Machine: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("addr%d", i), StatusOnly: true, Timeout: probeTimeout,
		})
	}
	if !slices.EqualFunc(core.calls, want, func(a, b messages.AgentCall) bool {
		return fmt.Sprint(a) == fmt.Sprint(b)
	}) {
		t.Errorf("calls %+v, want %+v", core.calls, want)
	}
}

func TestReportCountsAnswersByZone(t *testing.T) {
	p, core := newProbe()
	if got := p.Report(); got != nil {
		t.Errorf("report %v before any probe", got)
	}
	p.StartRound(twoZones())
	core.reply(2, "m3")
	core.reply(0, "m9") // the address now belongs to another machine
	if got := p.Report(); got != nil || core.completed != 0 {
		t.Errorf("report %v and %d completions while a call is in flight", got, core.completed)
	}
	core.reply(1, "")
	want := []messages.ZoneReachability{
		{Partition: 3, Zone: "a", Probed: 2, Answered: 0},
		{Partition: 3, Zone: "b", Probed: 1, Answered: 1},
	}
	if got := p.Report(); !slices.Equal(got, want) {
		t.Errorf("report %v, want %v", got, want)
	}
	if core.completed != 1 {
		t.Errorf("%d completions, want 1", core.completed)
	}
}

func TestReportExpiresAfterCompletion(t *testing.T) {
	p, core := newProbe()
	p.StartRound(twoZones())
	core.now += micros.Second
	for i := range core.done {
		core.reply(i, "")
	}
	core.now += ResultTTL
	if p.Report() == nil {
		t.Error("no report within ResultTTL after the round completed")
	}
	core.now++
	if got := p.Report(); got != nil {
		t.Errorf("report %v later than ResultTTL after the round completed", got)
	}
}

func TestRoundDiscardsPreviousResults(t *testing.T) {
	p, core := newProbe()
	p.StartRound(twoZones())
	for i := range core.done {
		core.reply(i, core.calls[i].Machine)
	}
	core.now += probeInterval
	p.StartRound(twoZones()[1:])
	if got := p.Report(); got != nil {
		t.Errorf("report %v while the second round is in flight", got)
	}
	core.reply(3, "m3")
	want := []messages.ZoneReachability{{Partition: 3, Zone: "b", Probed: 1, Answered: 1}}
	if got := p.Report(); !slices.Equal(got, want) {
		t.Errorf("report %v, want %v", got, want)
	}
}

func TestDue(t *testing.T) {
	p, core := newProbe()
	core.now = probeInterval - 1
	if !p.Due() {
		t.Error("the first round is not due immediately")
	}
	p.StartRound(twoZones())
	core.now += probeInterval
	if p.Due() {
		t.Error("due while calls are in flight")
	}
	for i := range core.done {
		core.reply(i, "")
	}
	if !p.Due() {
		t.Error("not due although the interval since the start of the last round has passed")
	}
	p.StartRound(nil)
	core.now += probeInterval - 1
	if p.Due() {
		t.Error("due before the interval has passed")
	}
}

// cacheWith returns a cache with the given number of machines in use per zone of partition 3.
func cacheWith(machines map[string]int) *storage.Cache {
	cache := storage.NewCache(storage.Keys{})
	for zone, count := range machines {
		for i := range count {
			id := fmt.Sprintf("%s%02d", zone, i)
			cache.Machines[id] = storage.Versioned[storage.Machine]{Value: machine(3, zone, id+":80", true)}
		}
	}
	return cache
}

func machine(partition int, zone, address string, used bool) storage.Machine {
	return storage.Machine{
		MachineRecord: storage.MachineRecord{Address: address, Used: used}, Partition: partition, Zone: zone,
	}
}

func TestSamples(t *testing.T) {
	cache := cacheWith(map[string]int{"b": 2, "a": 16})
	for id, m := range map[string]storage.Machine{
		"0 other partition": machine(4, "a", "x", true),
		"0 unused":          machine(3, "a", "x", false),
		"0 without address": machine(3, "a", "", true),
		"0 unused zone":     machine(3, "c", "x", false),
	} {
		cache.Machines[id] = storage.Versioned[storage.Machine]{Value: m}
	}
	want := []ZoneSample{
		{Partition: 3, Zone: "a", Machines: []Endpoint{
			{"a00", "a00:80"}, {"a02", "a02:80"}, {"a04", "a04:80"}, {"a06", "a06:80"},
			{"a08", "a08:80"}, {"a10", "a10:80"}, {"a12", "a12:80"}, {"a14", "a14:80"},
		}},
		{Partition: 3, Zone: "b", Machines: []Endpoint{{"b00", "b00:80"}, {"b01", "b01:80"}}},
	}
	if got := Samples(cache, 3); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("samples %v, want %v", got, want)
	}
	if got := Samples(cache, 5); got != nil {
		t.Errorf("samples %v of a partition without machines", got)
	}
}
