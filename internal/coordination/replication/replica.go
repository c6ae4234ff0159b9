// Package replication keeps a controller's copy of the key-value store: it loads a snapshot,
// follows the change stream, counts how long the leadership term lasts without confirmation,
// and makes the copy good for linearizable reads.
package replication

import (
	"pipitlatch/internal/coordination/leadership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// staleAfter is how old the last confirmation by the change stream may be before the key-value
// store counts as out of reach: a watch comes back once a second.
const staleAfter = 2500 * micros.Millisecond

// Environment is what a replica needs of the core.
type Environment interface {
	// Now is the steady time of this step.
	Now() micros.Time
	// Log adds a record to the log; attributes are keys and values in turn.
	Log(level int, message string, attributes ...any)
	// CallStore sends a request to the key-value store. It returns false, and done is never
	// called, if the request budget does not allow it now.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
}

// Observer reacts to what the replica learns.
type Observer interface {
	// SnapshotInstalled takes that a new cache replaced the previous one. What happened
	// between the two is unknown. The last page was requested at a time.
	SnapshotInstalled(previous *storage.Cache, sent micros.Time)
	// Changed takes one change, which the cache has already.
	Changed(change storage.Change, item storage.Item)
	// AdmissionChanged takes, after all changes that came with it, that the record of the
	// admission epoch changed; the watch that brought it was sent at a time.
	AdmissionChanged(sent micros.Time)
	// ChangesApplied takes that all changes which came together are in the cache.
	ChangesApplied()
}

// Replica is a controller's copy of the key-value store.
type Replica struct {
	environment Environment
	observer    Observer
	keys        storage.Keys

	cache  *storage.Cache
	synced bool // the cache is whole: the change stream continues it
	term   leadership.Term

	snapshot snapshotLoad
	watch    watchState
	reads    *readBarrier
}

// Settings are what a replica is configured with.
type Settings struct {
	Keys          storage.Keys
	TermLength    micros.Time // of the leadership of partitions and of the cluster
	WatchInterval micros.Time // the least time between two watches
}

// New returns a replica that has loaded nothing.
func New(environment Environment, observer Observer, settings Settings) *Replica {
	r := &Replica{
		environment: environment,
		observer:    observer,
		keys:        settings.Keys,
		cache:       storage.NewCache(settings.Keys),
		term:        leadership.Term{Length: settings.TermLength},
		watch:       watchState{interval: settings.WatchInterval},
	}
	r.reads = newReadBarrier(environment, r, settings.Keys.ReadBarrier())
	return r
}

// Cache is the copy of the store. Install replaces it.
func (r *Replica) Cache() *storage.Cache { return r.cache }

// Synced tells whether the cache is whole, though it may be old.
func (r *Replica) Synced() bool { return r.synced }

// Term counts how long a leader may act without a confirmation by the change stream.
func (r *Replica) Term() *leadership.Term { return &r.term }

// Stale tells whether the change stream has not confirmed the cache of late: the store
// counts as out of reach.
func (r *Replica) Stale() bool { return r.term.SinceConfirmed(r.environment.Now()) >= staleAfter }

// Current tells whether the cache is whole and the change stream has confirmed it of late.
func (r *Replica) Current() bool { return r.synced && !r.Stale() }

// Revision is how far the cache has come.
func (r *Replica) Revision() uint64 { return r.cache.Revision }

// Refresh loads a snapshot if there is no valid copy, and follows the change stream if there is.
func (r *Replica) Refresh() {
	r.loadSnapshot()
	r.watchChanges()
}

// LinearizableRead calls then(true) when the cache is as new as this moment, and then(false),
// at once where that is known, when it cannot be made so.
func (r *Replica) LinearizableRead(then func(ok bool)) { r.reads.read(then) }

// AdvanceReads ends linearizable reads that waited too long, and begins those that wait.
func (r *Replica) AdvanceReads() { r.reads.advance() }

// Install takes a fresh copy of the store, of which the last page was requested at a time. What
// happened between the copies is unknown, so a lease counts as the same only if its mod
// revision is, and nothing is done under it until the stream has confirmed it once more.
func (r *Replica) Install(cache *storage.Cache, sent micros.Time) {
	previous := r.cache
	r.cache, r.synced = cache, true
	r.term.Invalidate()
	r.observer.SnapshotInstalled(previous, sent)
	cache.TakeAffected() // the observer looked at everything
	r.environment.Log(messages.LevelInfo, "snapshot loaded", "revision", cache.Revision, "jobs", len(cache.Jobs))
}

// logUndecodable tells of a record that is passed over: one that cannot be read must not keep
// the others from being read.
func (r *Replica) logUndecodable(err error) {
	r.environment.Log(messages.LevelWarn, "undecodable record", "err", err)
}
