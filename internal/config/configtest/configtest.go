// Package configtest provides the settings of a small deployment for tests.
package configtest

import "fmt"

// Site holds the settings that vary between tests, for a deployment with one controller and one team.
type Site struct {
	Member         string
	Listen         string
	InternalAddr   string
	Cloud          string
	Store          string
	MaxConnections int
}

// Default returns a site whose addresses have no listeners.
func Default() Site {
	return Site{
		Member:         "n0",
		Listen:         "10.0.0.1:1",
		InternalAddr:   "10.0.0.1:2",
		Cloud:          "10.2.0.2:1",
		Store:          "10.2.0.1:1",
		MaxConnections: 1000,
	}
}

// Platform returns the site's settings file in the platform's format.
func (s Site) Platform() []byte {
	return fmt.Appendf(nil, `member = %q
listen = %q
internal_addr = %q
[services]
cloud = %q
state = %q
[settings]
nodes = 1
[[settings.teams]]
name = "alpha"
[settings.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 35.0
[settings.state]
rps = 100.0
write_rps = 25.0
value_kb = 16.0
txn_ops = 12
[settings.cloud]
rps = 8.0
[settings.machine_limits]
memory_mb = 125.0
max_connections = %d
`, s.Member, s.Listen, s.InternalAddr, s.Cloud, s.Store, s.MaxConnections)
}
