package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
)

// newWorld makes a deployment from its cluster line; nothing runs yet.
func newWorld(l *line, seed uint64, logf func(string, ...any)) (*World, error) {
	w := &World{simulation: newSimulation(seed, logf)}
	zones, nodeZones := []string{"a", "b"}, []string{"a"}
	if l.settings["zones"] != "" {
		zones = strings.Split(l.settings["zones"], ",")
		nodeZones, w.network.zoned = zones, true
	}
	w.network.interZoneDelay = micros.FromSeconds(l.number("distance_ms", 0) / 1000)
	members := clusterMembers(l.count("nodes", 3), nodeZones)
	for i := range members {
		settings := clusterSettings(l, members, i)
		settings.fleet.zones = zones
		n, err := w.newNode(l, i, settings)
		if err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
		w.config = n.config
		w.nodes = append(w.nodes, n)
	}
	limits := w.config.Settings.State
	w.store = newKeyValueStore(w.simulation, limits.TxnOps, int(limits.ValueKB*1024))
	w.store.historyLimit = l.count("history", 10_000)
	w.cloud = newCloud(w)
	w.users = newUsers(w)
	return w, nil
}

// newNode makes the i-th controller; its clock's drift and skew are drawn.
func (w *World) newNode(l *line, i int, settings platformSettings) (*node, error) {
	operator := fmt.Sprintf("queues: %d ", l.count("partitions", 1)) + fairSettings(l, i)
	now, err := config.Parse([]byte(settings.toml()), []byte(operator))
	if err != nil {
		return nil, err
	}
	settings.services.smallerToCome = true
	next, err := config.Parse([]byte(settings.toml()), []byte(operator))
	if err != nil {
		return nil, err
	}
	if l.settings["next"] != "" {
		now = next
	}
	n := &node{w: w, name: now.Member, config: now, nextConfig: next}
	n.drift = 1 + (w.random.Float64()-0.5)*0.001
	n.skew = micros.Time((w.random.Float64() - 0.5) * 10_000)
	return n, nil
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

// clusterMembers are the controllers of a deployment that is played, in the zones in turn.
func clusterMembers(count int, zones []string) []memberSettings {
	var members []memberSettings
	for i := range count {
		members = append(members, memberSettings{
			member: nodeName(i), zone: zones[i%len(zones)],
			listen: "10.0.0.1:8080", internal: fmt.Sprintf("10.0.0.%d:8081", i+1),
		})
	}
	return members
}

// clusterSettings are the settings of the i-th controller, from the cluster line.
func clusterSettings(l *line, members []memberSettings, i int) platformSettings {
	s := platformSettings{
		identity: members[i], cloud: "10.2.0.2:1", store: "10.2.0.1:1",
		fleet: fleetSettings{
			nodes: len(members), skewMS: 5, teams: clusterTeams(l.settings["teams"]), objectives: clusterObjectives(l),
		},
		agents: agentSettings{
			heartbeat: l.number("heartbeat", 1.5), lease: l.number("lease", 10), cancel: l.number("cancel", 35),
		},
		services: serviceLimits{
			storeRPS: l.number("rps", 100), writeRPS: l.number("write_rps", 25), valueKB: 8, cloudRPS: l.number("cloud_rps", 6),
		},
		machine: machineLimits{cpu: 0.24, memoryMB: l.number("memory", 125), connections: l.count("connections", 1000)},
	}
	for k, m := range members {
		if k != i {
			s.peers = append(s.peers, m)
		}
	}
	return s
}

// clusterTeams reads name:guarantee:limit,...
func clusterTeams(text string) []teamSettings {
	if text == "" {
		text = "alpha"
	}
	var teams []teamSettings
	for _, t := range strings.Split(text, ",") {
		p := append(strings.Split(t, ":"), "0", "0")
		teams = append(teams, teamSettings{p[0], p[1], p[2]})
	}
	return teams
}

// clusterObjectives reads wait=CLASS:SECONDS, finished=CLASS:SECONDS and guarantee=SECONDS.
func clusterObjectives(l *line) []objectiveSettings {
	var objectives []objectiveSettings
	for _, kind := range []string{"wait", "finished"} {
		if class, within, ok := strings.Cut(l.settings[kind], ":"); ok {
			objectives = append(objectives, objectiveSettings{kind, class, within + ".0"})
		}
	}
	if v := l.number("guarantee", 0); v > 0 {
		within := strconv.FormatFloat(v, 'g', -1, 64)
		objectives = append(objectives, objectiveSettings{kind: "guarantee", within: within})
	}
	return objectives
}

// addType adds an instance type to the cloud.
func (w *World) addType(l *line) {
	t := &instanceType{
		name: l.word(1), cores: l.number("cores", 8), ramGB: l.number("ram", 32),
		price: l.number("price", 0.4), spotPrice: l.number("spot_price", 0.15),
		cacheGB: l.number("cache", 80), fetchGBPerSecond: l.number("fetch", 0.5), bootTime: l.seconds("boot", 20),
		capacity: map[string]int{},
	}
	zones := l.settings["zones"]
	if zones == "" {
		zones = "a"
	}
	t.zones = strings.Split(zones, ",")
	for _, zone := range t.zones {
		t.capacity[zone+marketKey(false)] = l.count("capacity", 5)
		t.capacity[zone+marketKey(true)] = l.count("spot_capacity", 3)
	}
	w.cloud.instanceTypes = append(w.cloud.instanceTypes, t)
}
