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

// cloudEnvironment also records calls to the cloud.
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

// takeCloudCall removes the only recorded call to the cloud and returns its completion function.
func (e *cloudEnvironment) takeCloudCall(t *testing.T) func(*messages.CloudReply) {
	t.Helper()
	if len(e.cloudCalls) != 1 {
		t.Fatalf("%d calls to the cloud, want 1", len(e.cloudCalls))
	}
	done := e.cloudCalls[0]
	e.cloudCalls = nil
	return done
}

// instanceTypes returns count types, named a, b, c and so on.
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

// newCatalogTest returns a catalog at a time of 10 s, whose records hold up to two types.
func newCatalogTest() *catalogTest {
	c := &catalogTest{environment: &cloudEnvironment{}, cache: storage.NewCache(testKeys)}
	c.environment.Time = 10 * micros.Second
	c.cache.Format = storage.Format
	settings := Settings{Keys: testKeys, MaxValue: len(storage.Encode(instanceTypes(2))), MaxTxnOps: 2}
	c.Catalog = New(c.environment, settings, func() { c.fetches++ })
	return c
}

// fetch refreshes the catalog with instance types from the cloud.
func (c *catalogTest) fetch(t *testing.T, types workload.Catalog) {
	t.Helper()
	c.Refresh()
	c.environment.takeCloudCall(t)(&messages.CloudReply{Outcome: messages.CloudOK, Catalog: types})
}

// apply applies the puts of a request to the cache.
func (c *catalogTest) apply(t *testing.T, request *storage.Request, revision uint64) {
	t.Helper()
	for _, put := range request.Puts {
		item := storage.Item{Key: put.Key, Value: put.Value, ModRevision: revision}
		if _, _, err := c.cache.Apply(item); err != nil {
			t.Fatal(err)
		}
	}
}

func TestRefreshLimitsItsRate(t *testing.T) {
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
		t.Error("types were taken from a failed reply")
	}
	c.Refresh()
	c.environment.takeCloudCall(t)(&messages.CloudReply{Outcome: messages.CloudOK})
	if c.Types() != nil {
		t.Error("an empty catalog was taken")
	}
	requireNext(firstFetchInterval)
	c.environment.takeCloudCall(t)(&messages.CloudReply{Outcome: messages.CloudOK, Catalog: instanceTypes(1)})
	if len(c.Types()) != 1 || c.fetches != 1 {
		t.Errorf("%d types, onFetched called %d times, want 1 each", len(c.Types()), c.fetches)
	}
	requireNext(fetchInterval)
	c.environment.takeCloudCall(t)(unavailable)
	if len(c.Types()) != 1 || c.fetches != 1 {
		t.Error("a failed reply changed the types")
	}
}

func TestFirstFetchIsImmediate(t *testing.T) {
	c := newCatalogTest()
	c.environment.Time = 1
	c.Refresh()
	c.environment.takeCloudCall(t)
}

func TestAdoptStored(t *testing.T) {
	c := newCatalogTest()
	c.AdoptStored(c.cache)
	if c.Types() != nil {
		t.Error("types are known although none are stored")
	}
	c.cache.Catalog.Value = instanceTypes(2)
	c.AdoptStored(c.cache)
	if len(c.Types()) != 2 || c.fetches != 0 {
		t.Errorf("%d types, onFetched called %d times, want 2 and 0", len(c.Types()), c.fetches)
	}
	c.cache.Catalog.Value = instanceTypes(1)
	c.AdoptStored(c.cache)
	if len(c.Types()) != 2 {
		t.Error("known types were replaced by the stored ones")
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

func TestPersistWritesOnlyTypesFromTheCloud(t *testing.T) {
	c := newCatalogTest()
	c.cache.Catalog.Value = instanceTypes(2)
	c.AdoptStored(c.cache)
	c.cache.Catalog.Value = instanceTypes(1)
	c.Persist(c.cache, guard)
	c.environment.RequireNoCall(t)
}

// TestPersistWritesParts checks that seven types are written in four parts, two per transaction.
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
		t.Error("the stored types differ from those of the cloud")
	}
	// Only the part that changed is written again, replacing the stored one.
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

// TestPartsHaveAtLeastOneType checks that a type too large for a record gets a part of its own.
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

// TestPersistWritesNoPartsForOlderVersions checks that no parts are written while older versions are
// running, as these would mistake a part for the whole catalog.
func TestPersistWritesNoPartsForOlderVersions(t *testing.T) {
	c := newCatalogTest()
	c.cache.Format = storage.Format - 1
	c.fetch(t, instanceTypes(3))
	c.Persist(c.cache, guard)
	c.environment.RequireNoCall(t)
}
