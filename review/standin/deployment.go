package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// deployment is the settings of a run. The zero value of a field stands for that of the licence site.
type deployment struct {
	zones   []string
	teams   []team
	limits  limits
	next    string // the lines of the announced limits of the state service, or empty
	program string // the program that the controllers run at first; empty: that of the deploy file
	types   []machineType
	workers workerTimes
}

type team struct {
	name            string
	cores, coresMax float64
}

// licenceSite is the small deployment of midlands-licensing-prod.
func licenceSite() *deployment {
	return &deployment{
		zones:   []string{"derby-east", "leicester-north", "nottingham-west"},
		teams:   []team{{name: "licensing-core"}},
		limits:  limits{rps: 100, writeRPS: 25, valueBytes: 16 << 10, txnOps: 12},
		workers: workerTimes{report: 1500 * time.Millisecond, lease: 10 * time.Second, cancel: 35 * time.Second},
		types: []machineType{
			{Name: "tench-small", Cores: 8, RAM: 64, Cache: 80, Fetch: 0.4, Price: 0.62, SpotPrice: 0.23, Boot: 50,
				Zones: []string{"derby-east", "leicester-north"}},
			{Name: "pike-medium", Cores: 32, RAM: 256, Cache: 60, Fetch: 0.8, Price: 2.49, SpotPrice: 0.97, Boot: 35,
				Zones: []string{"derby-east", "leicester-north", "nottingham-west"}},
			{Name: "salmon-large", Cores: 64, RAM: 128, Cache: 60, Fetch: 0.8, Price: 4.05, SpotPrice: 1.52, Boot: 20,
				Zones: []string{"derby-east", "leicester-north", "nottingham-west"}},
		},
	}
}

// The limits and the latency of the cloud are those of the licence site.
const (
	cloudRPS     = 8
	listLag      = 8 * time.Second
	cloudLatency = 120 * time.Millisecond
)

// deploy starts the stand-ins, writes the settings and starts the controllers.
func (wd *world) deploy(d *deployment) {
	run, err := readRun(wd.root)
	if err != nil {
		wd.fatal("%v", err)
	}
	if _, err := os.Stat(run[0]); err != nil {
		wd.fatal("the program is not built: %v", err)
	}
	wd.run, wd.workers = run, d.workers
	wd.state = newStateService(d.limits)
	state, cloudAddress := wd.serve(wd.state), ""
	ports, err := freePorts(6)
	if err != nil {
		wd.fatal("%v", err)
	}
	for i := range 3 {
		wd.nodes = append(wd.nodes, &node{
			name: fmt.Sprintf("latchhost-%d", i), zone: d.zones[0], listen: ports[2*i], internal: ports[2*i+1],
			program: d.program,
		})
	}
	wd.cloud = newCloud(wd, d.types, listLag, cloudRPS)
	cloudAddress = wd.serve(wd.cloud)
	for _, n := range wd.nodes {
		n.settings = filepath.Join(wd.dir, n.name+".toml")
		wd.writeSettings(n, d, state, cloudAddress)
	}
	wd.services = [2]string{state, cloudAddress}
	for _, n := range wd.nodes {
		wd.startProcess(n)
	}
}

func (wd *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		wd.fatal("%v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// writeSettings writes a controller's settings file.
func (wd *world) writeSettings(n *node, d *deployment, state, cloudAddress string) {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("member = %q\nzone = %q\nlisten = %q\ninternal_addr = %q\n", n.name, n.zone, n.listen, n.internal)
	for _, other := range wd.nodes {
		if other != n {
			p("[[siblings]]")
			p("member = %q\nzone = %q\naddress = %q\n", other.name, other.zone, other.internal)
		}
	}
	p("[services]\ncloud = %q\nstate = %q\n", cloudAddress, state)
	p("[settings]\nnodes = 3\nzones = [\"%s\"]\nskew_ms = 5.0\n", strings.Join(d.zones, `", "`))
	for _, t := range d.teams {
		p("[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cores, t.coresMax)
	}
	p("[[settings.objectives]]\nkind = \"wait\"\nclass = \"licence-counter\"\nwithin_s = 3.0\nshare = 0.92\n")
	p("[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = %.1f\n",
		d.workers.report.Seconds(), d.workers.lease.Seconds(), d.workers.cancel.Seconds())
	p("[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
		d.limits.rps, d.limits.writeRPS, float64(d.limits.valueBytes)/1024, d.limits.txnOps)
	if d.next != "" {
		p("[settings.state.next]\n%s\n", d.next)
	}
	p("[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", float64(cloudRPS), listLag.Seconds())
	p("[settings.machine_limits]\ncpu = 0.24\nmemory_mb = 125.0\nmax_connections = 1000")
	if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
		wd.fatal("%v", err)
	}
}
