package coordination

import (
	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
)

// formatUpgradeInterval is how often the cluster leader tries to raise the record format.
const formatUpgradeInterval = micros.Second

// upgradeFormat writes, as the cluster leader, that records of this version's format may be
// written, once every member of the settings was registered with a version that reads them: until
// then an older one may still become partition leader, and would start a job without regard to
// its dependencies.
func (c *Core) upgradeFormat() {
	upgrade := &c.leader.formatUpgrade
	if c.cache.Format >= storage.Format || upgrade.inFlight || c.now < upgrade.retryAt {
		return
	}
	if !c.allMembersReadFormat() {
		return
	}
	upgrade.retryAt = c.now + formatUpgradeInterval
	upgrade.inFlight = c.callStore(&storage.Request{
		Kind:     storage.Txn,
		Compares: []storage.Compare{c.leaderCompare()},
		Puts:     []storage.Put{{Key: c.keys.Format(), Value: storage.Encode(map[string]int{"v": storage.Format})}},
	}, storage.Urgent, storeTimeout, func(r *storage.Reply) {
		upgrade.inFlight = false
		if r.Outcome == storage.OK {
			c.log(messages.LevelInfo, "record format upgraded", "format", storage.Format)
		}
	})
}

// allMembersReadFormat tells whether every member of the settings was registered with a version
// that reads this version's records.
func (c *Core) allMembersReadFormat() bool {
	members := []string{c.process.Member}
	for _, peer := range c.config.Peers {
		members = append(members, peer.Member)
	}
	for _, member := range members {
		if c.cache.Members[member].ModRevision == 0 || c.cache.MemberFormats[member] < storage.Format {
			return false
		}
	}
	return true
}

// olderMemberRegistered tells whether a process of an older version serves now: one that came back
// although all members were new once. It must not come to lead jobs with dependencies.
func (c *Core) olderMemberRegistered() bool {
	for member := range c.cache.Members {
		if c.cache.MemberFormats[member] < storage.Format {
			return true
		}
	}
	return false
}
