package scenario

import (
	"fmt"
	"strings"
)

// platformSettings is the platform's settings file of a controller, as far as the tests set it.
type platformSettings struct {
	identity memberSettings
	peers    []memberSettings
	cloud    string // addresses
	store    string
	fleet    fleetSettings
	agents   agentSettings
	services serviceLimits
	machine  machineLimits
}

// memberSettings are a controller's name, place and addresses.
type memberSettings struct {
	member, zone, listen, internal string
}

// fleetSettings are what all controllers have in common.
type fleetSettings struct {
	nodes      int
	zones      []string
	skewMS     float64
	teams      []teamSettings
	objectives []objectiveSettings
}

// teamSettings are a team's guaranteed and highest cores, whole numbers; "": none.
type teamSettings struct{ name, cores, mostCores string }

// objectiveSettings are a service-level objective, for a class if one is named.
type objectiveSettings struct{ kind, class, within string }

type agentSettings struct{ heartbeat, lease, cancel float64 }

type serviceLimits struct {
	storeRPS, writeRPS, valueKB float64
	// smallerToCome announces smaller limits of the store.
	smallerToCome bool
	cloudRPS      float64
}

type machineLimits struct {
	cpu, memoryMB float64
	connections   int
}

// smallerLimits are limits of the store that are to come.
const smallerLimits = "[settings.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4\n"

// toml is the file's text, in the words of the settings.
func (s *platformSettings) toml() string {
	var b strings.Builder
	s.writeMembers(&b)
	fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n", s.cloud, s.store)
	s.fleet.write(&b)
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %v\nlease_s = %v\ncancel_s = %v\n",
		s.agents.heartbeat, s.agents.lease, s.agents.cancel)
	fmt.Fprintf(&b, "[settings.state]\nrps = %v\nwrite_rps = %v\nvalue_kb = %v\ntxn_ops = 12\n",
		s.services.storeRPS, s.services.writeRPS, s.services.valueKB)
	if s.services.smallerToCome {
		b.WriteString(smallerLimits)
	}
	fmt.Fprintf(&b, "[settings.cloud]\nrps = %v\nlist_lag_s = 3.0\n", s.services.cloudRPS)
	fmt.Fprintf(&b, "[settings.machine_limits]\ncpu = %v\nmemory_mb = %v\nmax_connections = %d\n",
		s.machine.cpu, s.machine.memoryMB, s.machine.connections)
	return b.String()
}

func (s *platformSettings) writeMembers(b *strings.Builder) {
	fmt.Fprintf(b, "member = %q\n", s.identity.member)
	if s.identity.zone != "" {
		fmt.Fprintf(b, "zone = %q\n", s.identity.zone)
	}
	fmt.Fprintf(b, "listen = %q\ninternal_addr = %q\n", s.identity.listen, s.identity.internal)
	for _, p := range s.peers {
		fmt.Fprintf(b, "[[siblings]]\nmember = %q\nzone = %q\naddress = %q\n", p.member, p.zone, p.internal)
	}
}

func (f *fleetSettings) write(b *strings.Builder) {
	fmt.Fprintf(b, "[settings]\nnodes = %d\n", f.nodes)
	if len(f.zones) > 0 {
		fmt.Fprintf(b, "zones = [\"%s\"]\n", strings.Join(f.zones, "\", \""))
	}
	if f.skewMS > 0 {
		fmt.Fprintf(b, "skew_ms = %v\n", f.skewMS)
	}
	for _, t := range f.teams {
		fmt.Fprintf(b, "[[settings.teams]]\nname = %q\n", t.name)
		if t.cores != "" {
			fmt.Fprintf(b, "cpus = %s.0\n", t.cores)
		}
		if t.mostCores != "" {
			fmt.Fprintf(b, "cpus_max = %s.0\n", t.mostCores)
		}
	}
	for _, o := range f.objectives {
		fmt.Fprintf(b, "[[settings.objectives]]\nkind = %q\n", o.kind)
		if o.class != "" {
			fmt.Fprintf(b, "class = %q\n", o.class)
		}
		fmt.Fprintf(b, "within_s = %s\nshare = 0.99\n", o.within)
	}
}
