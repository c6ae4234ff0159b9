// Package catalog keeps the instance types that the cloud offers: it fetches them from the
// cloud, and keeps a copy in the key-value store for a controller that starts while the cloud
// is down.
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
	// fetchInterval is how often the instance types are fetched: prices move.
	fetchInterval = 60 * micros.Second
	// firstFetchInterval is how often they are fetched while none are known.
	firstFetchInterval = micros.Second
	// fetchTimeout is how long the cloud's reply is waited for.
	fetchTimeout = 3 * micros.Second
	// writeInterval is the least time between two writes of the stored copy.
	writeInterval = 10 * micros.Second
	// writeTimeout is how long the reply to a write is waited for.
	writeTimeout = 2 * micros.Second
)

// Environment is what the catalog needs of the core.
type Environment interface {
	// Now is the steady time of this step.
	Now() micros.Time
	// CallStore sends a request to the key-value store. It returns false, and done is never
	// called, if the request budget does not allow it now.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
	// CallCloud sends a request to the cloud.
	CallCloud(call messages.CloudCall, done func(*messages.CloudReply))
}

// Settings are what a catalog is configured with.
type Settings struct {
	Keys      storage.Keys
	MaxValue  int // bytes of a record
	MaxTxnOps int // changes of a transaction
}

// Catalog is the instance types as one controller knows them.
type Catalog struct {
	environment Environment
	settings    Settings
	fetched     func()
	types       workload.Catalog // nil: not known yet

	fetchInFlight bool
	fetchSentAt   micros.Time
	fromCloud     bool // the cloud, not only the store, told the types to this process
	writeInFlight bool
	writeSentAt   micros.Time
}

// New returns a catalog without instance types; fetched is called whenever the cloud told them.
func New(environment Environment, settings Settings, fetched func()) *Catalog {
	return &Catalog{environment: environment, settings: settings, fetched: fetched}
}

// Types are the instance types by name; nil: not known yet.
func (c *Catalog) Types() workload.Catalog { return c.types }

// Adopt takes instance types that the cloud told at some time.
func (c *Catalog) Adopt(types workload.Catalog) { c.types = types }

// Refresh fetches the instance types from the cloud now and then.
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
			c.fetched()
		}
	})
}

// AdoptStored takes the stored instance types if the cloud has not told them yet: a controller
// that starts while the cloud is down must be able to judge submissions and to plan.
func (c *Catalog) AdoptStored(cache *storage.Cache) {
	if stored := cache.Catalog.Value; c.types == nil && len(stored) > 0 {
		c.Adopt(stored)
	}
}

// Persist writes the instance types to the store, under the compare that guards the cluster
// leader's transactions, if the cloud told this process others than are stored: in parts if
// they are too many for one record.
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
		return // an older version would take a part for all
	default:
		c.putParts(request, cache)
	}
	c.writeInFlight = c.environment.CallStore(request, storage.Deferrable, writeTimeout, func(*storage.Reply) {
		c.writeInFlight = false
	})
}

// putParts adds the parts that are not stored as they are, as many as one transaction takes; the
// next write has the others.
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

// parts are the instance types in order of their names, as many in a part as fit a record.
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

// partStored reports whether each type of a part is stored as it is.
func partStored(part, stored workload.Catalog) bool {
	for name, instanceType := range part {
		same := workload.Catalog{name: instanceType}
		if !same.SameTypes(workload.Catalog{name: stored[name]}) {
			return false
		}
	}
	return true
}
