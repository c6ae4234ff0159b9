package catalog

import (
	"fmt"
	"slices"
	"testing"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/coordination/storetest"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

var (
	testKeys = storage.Keys{Prefix: "test/"}
	guard    = storage.Compare{Key: "test/leader", ModRevision: 5}
)

// cloudEnvironment keeps calls to the cloud, too.
type cloudEnvironment struct {
	storetest.Environment
	cloudCalls []func(*messages.CloudReply)
}

func (e *cloudEnvironment) CallCloud(call messages.CloudCall, done func(*messages.CloudReply)) {
	if call.Operation != messages.CloudCatalog || call.Timeout != fetchTimeout {
		panic(fmt.Sprintf("unexpected call %+v", call))
	}
	e.cloudCalls = append(e.cloudCalls, done)
}

// takeCloudCall returns what completes the only call to the cloud that has had no reply.
func (e *cloudEnvironment) takeCloudCall(t *testing.T) func(*messages.CloudReply) {
	t.Helper()
	if len(e.cloudCalls) != 1 {
		t.Fatalf("%d calls to the cloud, want 1", len(e.cloudCalls))
	}
	done := e.cloudCalls[0]
	e.cloudCalls = nil
	return done
}

// instanceTypes returns as many types, named a, b, c and so on.
func instanceTypes(count int) workload.Catalog {
	types := workload.Catalog{}
	for i := range count {
		name := string(rune('a' + i))
		types[name] = &workload.InstanceType{Name: name, Capacity: workload.Resources{CPU: 1000}, Zones: []string{"z"}}
	}
	return types
}

type catalogTest struct {
	*Catalog
	environment *cloudEnvironment
	cache       *storage.Cache
	fetches     int
}

// newCatalogTest returns a catalog at ten seconds, whose records have room for two types.
func newCatalogTest() *catalogTest {
	c := &catalogTest{environment: &cloudEnvironment{}, cache: storage.NewCache(testKeys)}
	c.environment.Time = 10 * micros.Second
	c.cache.Format = storage.Format
	settings := Settings{Keys: testKeys, MaxValue: len(storage.Encode(instanceTypes(2))), MaxTxnOps: 2}
	c.Catalog = New(c.environment, settings, func() { c.fetches++ })
	return c
}

// fetch lets the cloud tell instance types.
func (c *catalogTest) fetch(t *testing.T, types workload.Catalog) {
	t.Helper()
	c.Refresh()
	c.environment.takeCloudCall(t)(&messages.CloudReply{Outcome: messages.CloudOK, Catalog: types})
}

// apply takes the puts of a request into the cache.
func (c *catalogTest) apply(t *testing.T, request *storage.Request, revision uint64) {
	t.Helper()
	for _, put := range request.Puts {
		item := storage.Item{Key: put.Key, Value: put.Value, ModRevision: revision}
		if _, _, err := c.cache.Apply(item); err != nil {
			t.Fatal(err)
		}
	}
}

func TestRefreshPaces(t *testing.T) {
	c := newCatalogTest()
	requireNext := func(interval micros.Time) {
		t.Helper()
		c.environment.Time += interval - 1
		if c.Refresh(); len(c.environment.cloudCalls) != 0 {
			t.Fatalf("fetched again before %d µs", interval)
		}
		c.environment.Time++
		c.Refresh()
	}
	c.Refresh()
	c.environment.Time += 2 * fetchInterval
	c.Refresh()
	unavailable := &messages.CloudReply{Outcome: messages.CloudOutcomeUnknown, Catalog: instanceTypes(1)}
	c.environment.takeCloudCall(t)(unavailable) // one at a time
	if c.Types() != nil || c.fetches != 0 {
		t.Error("types are taken from a reply that failed")
	}
	c.Refresh()
	c.environment.takeCloudCall(t)(&messages.CloudReply{Outcome: messages.CloudOK})
	if c.Types() != nil {
		t.Error("an empty catalog is taken")
	}
	requireNext(firstFetchInterval)
	c.environment.takeCloudCall(t)(&messages.CloudReply{Outcome: messages.CloudOK, Catalog: instanceTypes(1)})
	if len(c.Types()) != 1 || c.fetches != 1 {
		t.Errorf("%d types, fetched told %d times", len(c.Types()), c.fetches)
	}
	requireNext(fetchInterval)
	c.environment.takeCloudCall(t)(unavailable)
	if len(c.Types()) != 1 || c.fetches != 1 {
		t.Error("a reply that failed changed the types")
	}
}

func TestFirstFetchIsAtOnce(t *testing.T) {
	c := newCatalogTest()
	c.environment.Time = 1
	c.Refresh()
	c.environment.takeCloudCall(t)
}

func TestAdoptStored(t *testing.T) {
	c := newCatalogTest()
	c.AdoptStored(c.cache)
	if c.Types() != nil {
		t.Error("types are known though none are stored")
	}
	c.cache.Catalog.Value = instanceTypes(2)
	c.AdoptStored(c.cache)
	if len(c.Types()) != 2 || c.fetches != 0 {
		t.Errorf("%d types, fetched told %d times, want 2 and never", len(c.Types()), c.fetches)
	}
	c.cache.Catalog.Value = instanceTypes(1)
	c.AdoptStored(c.cache)
	if len(c.Types()) != 2 {
		t.Error("known types are replaced by the stored ones")
	}
}

func TestPersistWritesOneRecord(t *testing.T) {
	c := newCatalogTest()
	c.cache.Format = 0
	c.cache.Catalog = storage.Versioned[workload.Catalog]{Value: instanceTypes(1), ModRevision: 9}
	c.fetch(t, instanceTypes(2))
	c.Persist(c.cache, guard)
	call := c.environment.Take(t, storage.Txn)
	compares := []storage.Compare{guard, {Key: "test/catalog", ModRevision: 9}}
	if !slices.Equal(call.Request.Compares, compares) {
		t.Errorf("compares %+v, want %+v", call.Request.Compares, compares)
	}
	if call.Urgency != storage.Deferrable || len(call.Request.Puts) != 1 {
		t.Errorf("sent %+v of urgency %d", call.Request, call.Urgency)
	}
	c.environment.Time += writeInterval
	c.Persist(c.cache, guard)
	c.environment.RequireNoCall(t) // one at a time
	call.Reply(storage.Reply{Outcome: storage.Conflict})
	c.Persist(c.cache, guard)
	call = c.environment.Take(t, storage.Txn)
	call.Reply(storage.Reply{Outcome: storage.Conflict})
	c.environment.Time += writeInterval - 1
	c.Persist(c.cache, guard)
	c.environment.RequireNoCall(t)
	c.apply(t, call.Request, 12)
	c.environment.Time++
	c.Persist(c.cache, guard)
	c.environment.RequireNoCall(t) // it is stored
}

func TestPersistWritesOnlyWhatTheCloudTold(t *testing.T) {
	c := newCatalogTest()
	c.cache.Catalog.Value = instanceTypes(2)
	c.AdoptStored(c.cache)
	c.cache.Catalog.Value = instanceTypes(1)
	c.Persist(c.cache, guard)
	c.environment.RequireNoCall(t)
}

// TestPersistWritesParts: seven types in four parts, two in a transaction.
func TestPersistWritesParts(t *testing.T) {
	c := newCatalogTest()
	c.fetch(t, instanceTypes(7))
	var written []string
	for round := range 4 {
		c.environment.Time += writeInterval
		c.Persist(c.cache, guard)
		if round >= 2 && len(c.environment.Calls) == 0 {
			break
		}
		call := c.environment.Take(t, storage.Txn)
		if len(call.Request.Compares) != 1+len(call.Request.Puts) || call.Request.Compares[0] != guard {
			t.Fatalf("compares %+v", call.Request.Compares)
		}
		for i, put := range call.Request.Puts {
			if want := (storage.Compare{Key: put.Key}); call.Request.Compares[i+1] != want {
				t.Errorf("compare %+v, want %+v", call.Request.Compares[i+1], want)
			}
			if len(put.Value) > c.settings.MaxValue {
				t.Errorf("%s has %d bytes", put.Key, len(put.Value))
			}
			written = append(written, put.Key)
		}
		c.apply(t, call.Request, uint64(20+round))
		call.Reply(storage.Reply{Outcome: storage.OK})
	}
	if want := []string{"test/types/0", "test/types/1", "test/types/2", "test/types/3"}; !slices.Equal(written, want) {
		t.Errorf("written %q, want %q", written, want)
	}
	if !c.Types().SameTypes(c.cache.Catalog.Value) {
		t.Error("what is stored differs from what the cloud told")
	}
	// Only the part that changes is written again, over the one that is there.
	changed := instanceTypes(7)
	changed["c"].Capacity.CPU = 2000
	c.Adopt(changed)
	c.environment.Time += writeInterval
	c.Persist(c.cache, guard)
	compares := c.environment.Take(t, storage.Txn).Request.Compares
	if want := []storage.Compare{guard, {Key: "test/types/1", ModRevision: 20}}; !slices.Equal(compares, want) {
		t.Errorf("compares %+v, want %+v", compares, want)
	}
}

// TestPartsHaveAtLeastOneType: one that is too large for a record is written all the same, alone.
func TestPartsHaveAtLeastOneType(t *testing.T) {
	c := newCatalogTest()
	c.settings.MaxValue = 1
	c.fetch(t, instanceTypes(3))
	for n, part := range c.parts() {
		if len(part) != 1 {
			t.Errorf("part %d has %d types, want 1", n, len(part))
		}
	}
	if len(c.parts()) != 3 {
		t.Errorf("%d parts, want 3", len(c.parts()))
	}
}

// TestPersistWritesNoPartsForOlderVersions: they would take a part for all.
func TestPersistWritesNoPartsForOlderVersions(t *testing.T) {
	c := newCatalogTest()
	c.cache.Format = storage.Format - 1
	c.fetch(t, instanceTypes(3))
	c.Persist(c.cache, guard)
	c.environment.RequireNoCall(t)
}
