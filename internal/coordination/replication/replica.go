// Package replication maintains a controller's local copy of the key-value store: it loads a
// snapshot, follows the change stream, tracks how long the leadership term remains valid without
// confirmation, and supports linearizable reads from the copy.
package replication

import (
	"pipitlatch/internal/coordination/leadership"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// staleAfter is the age of the last confirmation by the change stream from which the key-value
// store is considered unreachable. An idle watch returns once per second.
const staleAfter = 2500 * micros.Millisecond

// Environment is the part of the core that a replica depends on.
type Environment interface {
	// Now returns the monotonic time of this step.
	Now() micros.Time
	// Log writes a log record; attributes are alternating keys and values.
	Log(level int, message string, attributes ...any)
	// CallStore sends a request to the key-value store. If the request budget does not
	// allow it at present, it returns false and never calls done.
	CallStore(r *storage.Request, urgency storage.Urgency, timeout micros.Time, done func(*storage.Reply)) bool
}

// Observer is notified of changes to the local copy.
type Observer interface {
	// SnapshotInstalled is called after a new cache has replaced the previous one. The changes
	// between the two are unknown. sent is the time at which the last page was requested.
	SnapshotInstalled(previous *storage.Cache, sent micros.Time)
	// Changed is called for each change, after all changes of its transaction have been applied to the cache.
	Changed(change storage.Change, item storage.Item)
	// AdmissionChanged is called if a batch changed the record of the admission epoch, after all
	// changes of that batch. sent is the time at which the watch was sent.
	AdmissionChanged(sent micros.Time)
	// ChangesApplied is called after a batch of changes has been applied to the cache.
	ChangesApplied()
}

// Replica is a controller's local copy of the key-value store.
type Replica struct {
	environment Environment
	observer    Observer
	keys        storage.Keys

	cache  *storage.Cache
	synced bool // the cache is complete and the change stream can continue from it
	term   leadership.Term

	snapshot snapshotLoad
	watch    watchState
	reads    *readBarrier
}

// Settings configures a replica.
type Settings struct {
	Keys          storage.Keys
	TermLength    micros.Time // of partition and cluster leadership
	WatchInterval micros.Time // minimum time between two watches
}

// New returns a replica with an empty cache.
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

// Cache returns the local copy of the store. Install replaces it.
func (r *Replica) Cache() *storage.Cache { return r.cache }

// Synced reports whether the cache is complete, although it may be outdated.
func (r *Replica) Synced() bool { return r.synced }

// Term returns the leadership term, which limits how long a leader may act without a confirmation
// by the change stream.
func (r *Replica) Term() *leadership.Term { return &r.term }

// Stale reports whether the change stream has not confirmed the cache recently, so that the store
// is considered unreachable.
func (r *Replica) Stale() bool { return r.term.SinceConfirmed(r.environment.Now()) >= staleAfter }

// Current reports whether the cache is complete and has recently been confirmed by the change
// stream.
func (r *Replica) Current() bool { return r.synced && !r.Stale() }

// Revision returns the revision of the store that the cache has reached.
func (r *Replica) Revision() uint64 { return r.cache.Revision }

// Refresh loads a snapshot if there is no complete copy, and otherwise follows the change stream.
func (r *Replica) Refresh() {
	r.loadSnapshot()
	r.watchChanges()
}

// LinearizableRead calls then(true) once the cache is at least as recent as this call, or
// then(false) if that cannot be achieved, immediately if this is already known.
func (r *Replica) LinearizableRead(then func(ok bool)) { r.reads.read(then) }

// AdvanceReads fails linearizable reads that have timed out, and starts pending ones.
func (r *Replica) AdvanceReads() { r.reads.advance() }

// Install replaces the cache with a new copy of the store, whose last page was requested at the
// time sent. The changes between the two copies are unknown, so a lease is considered unchanged
// only if its mod revision is the same, and the leader must not act under it until the change
// stream has confirmed it again.
func (r *Replica) Install(cache *storage.Cache, sent micros.Time) {
	previous := r.cache
	r.cache, r.synced = cache, true
	r.term.Invalidate()
	r.observer.SnapshotInstalled(previous, sent)
	cache.TakeAffected() // SnapshotInstalled has already examined all jobs
	r.environment.Log(messages.LevelInfo, "snapshot loaded", "revision", cache.Revision, "jobs", len(cache.Jobs))
}

// logUndecodable logs a record that is skipped: one that cannot be decoded must not prevent the
// others from being read.
func (r *Replica) logUndecodable(err error) {
	r.environment.Log(messages.LevelWarn, "undecodable record", "err", err)
}
