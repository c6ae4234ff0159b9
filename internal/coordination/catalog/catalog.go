// Package catalog maintains the catalog of instance types offered by the cloud. It fetches them from
// the cloud, and stores a copy in the key-value store for controllers that start while the cloud is
// unavailable.
package catalog

import (
	"maps"
	"slices"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const (
	// fetchInterval is the interval between fetches of the instance types, whose prices change.
	fetchInterval = 60 * micros.Second
	// firstFetchInterval is the interval between fetches while no types are known.
	firstFetchInterval = micros.Second
	// fetchTimeout limits the wait for the cloud's reply.
	fetchTimeout = 3 * micros.Second
	// writeInterval is the minimum time between two writes of the stored copy.
	writeInterval = 10 * micros.Second
	// writeTimeout limits the wait for the reply to a write.
	writeTimeout = 2 * micros.Second
)

// Environment is the part of the core that the catalog depends on.
type Environment interface {
	// Now returns the monotonic time of this step.
	Now() micros.Time
	// CallStore sends a request to the key-value store. If the request budget does not
	// allow it at present, it returns false and never calls done.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
	// CallCloud sends a request to the cloud.
	CallCloud(call messages.CloudCall, done func(*messages.CloudReply))
}

// Settings configures a catalog.
type Settings struct {
	Keys      storage.Keys
	MaxValue  int // maximum size of a record in bytes
	MaxTxnOps int // maximum number of changes in a transaction
}

// Catalog holds the instance types known to one controller.
type Catalog struct {
	environment Environment
	settings    Settings
	onFetched   func()
	types       workload.Catalog // nil if not known yet

	fetchInFlight bool
	fetchSentAt   micros.Time
	fromCloud     bool // this process has fetched the types from the cloud, not only from the store
	writeInFlight bool
	writeSentAt   micros.Time
}

// New returns a catalog without instance types. onFetched is called after each successful fetch from
// the cloud.
func New(environment Environment, settings Settings, onFetched func()) *Catalog {
	return &Catalog{environment: environment, settings: settings, onFetched: onFetched}
}

// Types returns the instance types by name, or nil if they are not known yet.
func (c *Catalog) Types() workload.Catalog { return c.types }

// Adopt replaces the instance types with ones that the cloud returned, now or earlier.
func (c *Catalog) Adopt(types workload.Catalog) { c.types = types }

// Refresh fetches the instance types from the cloud if a fetch is due.
func (c *Catalog) Refresh() {
	now := c.environment.Now()
	interval := fetchInterval
	if c.types == nil {
		interval = firstFetchInterval
	}
	if c.fetchInFlight || (c.fetchSentAt != 0 && now-c.fetchSentAt < interval) {
		return
	}
	c.fetchInFlight, c.fetchSentAt = true, now
	call := messages.CloudCall{Operation: messages.CloudCatalog, Timeout: fetchTimeout}
	c.environment.CallCloud(call, func(r *messages.CloudReply) {
		c.fetchInFlight = false
		if r.Outcome == messages.CloudOK && len(r.Catalog) > 0 {
			c.Adopt(r.Catalog)
			c.fromCloud = true
			c.onFetched()
		}
	})
}

// AdoptStored uses the stored instance types if none are known yet: a controller that starts while
// the cloud is unavailable must be able to validate submissions and to plan.
func (c *Catalog) AdoptStored(cache *storage.Cache) {
	if stored := cache.Catalog.Value; c.types == nil && len(stored) > 0 {
		c.Adopt(stored)
	}
}

// Persist writes the instance types to the store if this process has fetched types from the cloud
// that differ from the stored ones. leader is the compare that guards the cluster leader's
// transactions. Types that do not fit in one record are split into parts.
func (c *Catalog) Persist(cache *storage.Cache, leader storage.Compare) {
	now := c.environment.Now()
	stored := cache.Catalog.Value
	if !c.fromCloud || c.writeInFlight || now-c.writeSentAt < writeInterval || c.types.SameTypes(stored) {
		return
	}
	c.writeSentAt = now
	request := &storage.Request{Kind: storage.Txn, Compares: []storage.Compare{leader}}
	value := storage.Encode(c.types)
	switch {
	case len(value) <= c.settings.MaxValue:
		key := c.settings.Keys.Catalog()
		request.Compares = append(request.Compares, storage.Compare{Key: key, ModRevision: cache.Catalog.ModRevision})
		request.Puts = append(request.Puts, storage.Put{Key: key, Value: value})
	case cache.Format < storage.Format:
		return // an older version would mistake a part for the whole catalog
	default:
		c.putParts(request, cache)
	}
	c.writeInFlight = c.environment.CallStore(request, storage.Deferrable, writeTimeout, func(*storage.Reply) {
		c.writeInFlight = false
	})
}

// putParts adds the parts that differ from the stored ones, up to the limit of one transaction. The
// remaining parts are left to the next writes.
func (c *Catalog) putParts(request *storage.Request, cache *storage.Cache) {
	for n, part := range c.parts() {
		if len(request.Puts) >= c.settings.MaxTxnOps {
			return
		}
		if partStored(part, cache.Catalog.Value) {
			continue
		}
		key := c.settings.Keys.CatalogPart(n)
		compare := storage.Compare{Key: key, ModRevision: cache.CatalogPartRevision(n)}
		request.Compares = append(request.Compares, compare)
		request.Puts = append(request.Puts, storage.Put{Key: key, Value: storage.Encode(part)})
	}
}

// parts splits the instance types, ordered by name, into parts that fit in one record each. A part
// has at least one type, even if that is too large.
func (c *Catalog) parts() []workload.Catalog {
	var parts []workload.Catalog
	part := workload.Catalog{}
	for _, name := range slices.Sorted(maps.Keys(c.types)) {
		part[name] = c.types[name]
		if len(part) > 1 && len(storage.Encode(part)) > c.settings.MaxValue {
			delete(part, name)
			parts = append(parts, part)
			part = workload.Catalog{name: c.types[name]}
		}
	}
	return append(parts, part)
}

// partStored reports whether each type of a part is stored unchanged.
func partStored(part, stored workload.Catalog) bool {
	for name, instanceType := range part {
		same := workload.Catalog{name: instanceType}
		if !same.SameTypes(workload.Catalog{name: stored[name]}) {
			return false
		}
	}
	return true
}
