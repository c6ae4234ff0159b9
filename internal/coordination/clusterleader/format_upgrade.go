package clusterleader

import (
	"pipitlatch/internal/config"
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// formatUpgradeInterval is the minimum interval between attempts to write the record format.
const formatUpgradeInterval = micros.Second

// formatUpgrade raises the store's record format, which allows records to be written in newer forms.
type formatUpgrade struct {
	view    leaderView
	keys    storage.Keys
	members []string // all configured members

	inFlight bool
	retryAt  micros.Time
}

func newFormatUpgrade(view leaderView, cfg *config.Config, process storage.Process, keys storage.Keys) *formatUpgrade {
	members := []string{process.Member}
	for _, peer := range cfg.Peers {
		members = append(members, peer.Member)
	}
	return &formatUpgrade{view: view, keys: keys, members: members}
}

func (u *formatUpgrade) startTerm() { u.inFlight = false }

// tick writes the record format once every configured member has registered with a version that reads
// it. Until then, a member of an older version could still become partition leader, and would start
// jobs without regard to their dependencies.
func (u *formatUpgrade) tick() {
	if u.view.Cache().Format >= storage.Format || u.inFlight || u.view.Now() < u.retryAt {
		return
	}
	if !u.allMembersReadFormat() {
		return
	}
	u.retryAt = u.view.Now() + formatUpgradeInterval
	r := &storage.Request{
		Kind:     storage.Txn,
		Compares: []storage.Compare{u.view.LeaderCompare()},
		Puts:     []storage.Put{{Key: u.keys.Format(), Value: storage.Encode(map[string]int{"v": storage.Format})}},
	}
	u.inFlight = u.view.CallStore(r, storage.Urgent, storeTimeout, func(r *storage.Reply) {
		u.inFlight = false
		if r.Outcome == storage.OK {
			u.view.Log(messages.LevelInfo, "record format upgraded", "format", storage.Format)
		}
	})
}

// allMembersReadFormat reports whether every configured member has registered with a version that
// reads this version's records.
func (u *formatUpgrade) allMembersReadFormat() bool {
	cache := u.view.Cache()
	for _, member := range u.members {
		if cache.Members[member].ModRevision == 0 || cache.MemberFormats[member] < storage.Format {
			return false
		}
	}
	return true
}
