// Package config reads and checks the platform's settings file (TOML) and the
// operators' own settings (protobuf text format).
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/prototext"

	"pipitlatch/internal/micros"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative operator.proto

// Peer is another controller.
type Peer struct {
	Member  string `toml:"member"`
	Zone    string `toml:"zone"`
	Address string `toml:"address"`
}

// Services are the outside services that a controller calls.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective restates an aim at start or at finish.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers are the worker agents' fixed times, in seconds.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// State are the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next are limits that come into force at some moment, unannounced.
	Next *NextState `toml:"next"`
}

// NextState are limits to come; what is left out stays as it is.
type NextState struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// StateLimits are the limits that every request keeps to from the start: the smaller
// ones of those in force and those to come, since the change comes unannounced, and a
// record that can no longer be written would stop its job, block or queue.
func (s *Settings) StateLimits() State {
	l := State{RPS: s.State.RPS, WriteRPS: s.State.WriteRPS, ValueKB: s.State.ValueKB, TxnOps: s.State.TxnOps}
	n := s.State.Next
	if n == nil {
		return l
	}
	smaller := func(v *float64, next float64) {
		if next > 0 {
			*v = min(*v, next)
		}
	}
	smaller(&l.RPS, n.RPS)
	smaller(&l.WriteRPS, n.WriteRPS)
	smaller(&l.ValueKB, n.ValueKB)
	if n.TxnOps > 0 {
		l.TxnOps = min(l.TxnOps, n.TxnOps)
	}
	return l
}

// MaxValue is how many bytes a value in the state service may have, with some left for
// how the service counts them.
func (s *Settings) MaxValue() int { return int(s.StateLimits().ValueKB * 1024 * 0.95) }

// Cloud are the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits bound the machine this controller runs on.
type MachineLimits struct {
	CPU            float64 `toml:"cpu"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Settings are the deployment's settings, the same for every controller.
type Settings struct {
	Nodes         int           `toml:"nodes"`
	Zones         []string      `toml:"zones"`
	SkewMS        float64       `toml:"skew_ms"`
	Teams         []Team        `toml:"teams"`
	Objectives    []Objective   `toml:"objectives"`
	Workers       Workers       `toml:"workers"`
	State         State         `toml:"state"`
	Cloud         Cloud         `toml:"cloud"`
	MachineLimits MachineLimits `toml:"machine_limits"`
}

// Platform is the settings file that the platform hands to one controller.
type Platform struct {
	Member       string   `toml:"member"`
	Zone         string   `toml:"zone"`
	Listen       string   `toml:"listen"`
	InternalAddr string   `toml:"internal_addr"`
	Peers        []Peer   `toml:"siblings"`
	Services     Services `toml:"services"`
	Settings     Settings `toml:"settings"`
}

// Config is everything a controller is told.
type Config struct {
	Platform
	Operator *Operator
}

// Load reads and checks both files; operatorPath may be empty. The error of a
// bad file joins one error a fault, each naming its field.
func Load(platformPath, operatorPath string) (*Config, error) {
	raw, err := os.ReadFile(platformPath)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var operator []byte
	if operatorPath != "" {
		if operator, err = os.ReadFile(operatorPath); err != nil {
			return nil, fmt.Errorf("operator settings: %w", err)
		}
	}
	return Parse(raw, operator)
}

// Parse is Load on the files' contents.
func Parse(platform, operator []byte) (*Config, error) {
	c := &Config{Operator: &Operator{}}
	if err := toml.Unmarshal(platform, &c.Platform); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return nil, fmt.Errorf("%s: line %d: %s", strings.Join(de.Key(), "."), row, de.Error())
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := prototext.Unmarshal(operator, c.Operator); err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	c.defaults()
	return c, errors.Join(c.check()...)
}

func orDefault(v *uint32, d uint32) {
	if *v == 0 {
		*v = d
	}
}

func (c *Config) defaults() {
	o := c.Operator
	if o.KeyPrefix == "" {
		o.KeyPrefix = "pl/"
	}
	orDefault(&o.Queues, 1)
	orDefault(&o.PermitMs, 1500)
	orDefault(&o.SilenceMs, uint32(c.Settings.Workers.ReportS*2000))
	orDefault(&o.IdleKeepS, 45)
	orDefault(&o.MaxInProgress, uint32(max(8, c.Settings.MachineLimits.MaxConnections/4)))
	orDefault(&o.MemoryPercent, 70)
	orDefault(&o.SparePercent, 15)
	if o.FairAdmission == nil {
		o.FairAdmission = &FairAdmission{}
	}
	orDefault(&o.FairAdmission.EpochMs, 4000)
	orDefault(&o.FairAdmission.FloorPercent, 25)
	orDefault(&o.FairAdmission.LagS, 60)
}

// checker collects what is wrong with settings, by field.
type checker struct{ errs []error }

func (k *checker) bad(field, format string, args ...any) {
	k.errs = append(k.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

func (k *checker) address(field, v string) {
	if _, _, err := net.SplitHostPort(v); err != nil {
		k.bad(field, "not an address with a port: %q", v)
	}
}

func (k *checker) positive(field string, v float64) {
	if !(v > 0) {
		k.bad(field, "must be above 0, is %v", v)
	}
}

func (k *checker) atLeast0(field string, v float64) {
	if !(v >= 0) {
		k.bad(field, "must not be negative, is %v", v)
	}
}

func (c *Config) check() []error {
	k := &checker{}
	c.checkMember(k)
	c.checkTeams(k)
	s := &c.Settings
	k.positive("settings.workers.report_s", s.Workers.ReportS)
	k.positive("settings.workers.lease_s", s.Workers.LeaseS)
	k.positive("settings.workers.cancel_s", s.Workers.CancelS)
	s.checkState(k)
	k.positive("settings.cloud.rps", s.Cloud.RPS)
	k.atLeast0("settings.cloud.list_lag_s", s.Cloud.ListLagS)
	k.positive("settings.machine_limits.memory_mb", s.MachineLimits.MemoryMB)
	if need := c.ownSockets() + minServe; s.MachineLimits.MaxConnections < max(16, need) {
		k.bad("settings.machine_limits.max_connections", "must be at least %d for the controllers themselves, is %d", max(16, need), s.MachineLimits.MaxConnections)
	}
	if s.Workers.LeaseS > 0 && s.Workers.CancelS > 0 && c.LeadershipTerm() <= 0 {
		k.bad("settings.workers.cancel_s", "leaves no term beyond lease_s: %v", s.Workers.CancelS)
	}
	c.checkOperator(k)
	c.checkFairAdmission(k)
	return k.errs
}

func (c *Config) checkMember(k *checker) {
	if c.Member == "" {
		k.bad("member", "missing")
	}
	k.address("listen", c.Listen)
	k.address("internal_addr", c.InternalAddr)
	k.address("services.cloud", c.Services.Cloud)
	k.address("services.state", c.Services.State)
	for i, s := range c.Peers {
		if s.Member == "" {
			k.bad(fmt.Sprintf("siblings[%d].member", i), "missing")
		}
		k.address(fmt.Sprintf("siblings[%d].address", i), s.Address)
	}
}

func (c *Config) checkTeams(k *checker) {
	s := &c.Settings
	if s.Nodes < 1 {
		k.bad("settings.nodes", "must be at least 1, is %d", s.Nodes)
	}
	if len(s.Teams) == 0 {
		k.bad("settings.teams", "missing")
	}
	names := map[string]bool{}
	for i, t := range s.Teams {
		f := fmt.Sprintf("settings.teams[%d].", i)
		if t.Name == "" || names[t.Name] {
			k.bad(f+"name", "missing or given twice: %q", t.Name)
		}
		names[t.Name] = true
		k.atLeast0(f+"cpus", t.CPUs)
		k.atLeast0(f+"cpus_max", t.CPUsMax)
		k.atLeast0(f+"gpus", t.GPUs)
		k.atLeast0(f+"gpus_max", t.GPUsMax)
	}
}

func (s *Settings) checkState(k *checker) {
	k.positive("settings.state.rps", s.State.RPS)
	k.positive("settings.state.write_rps", s.State.WriteRPS)
	k.positive("settings.state.value_kb", s.State.ValueKB)
	if n := s.State.Next; n != nil {
		k.atLeast0("settings.state.next.rps", n.RPS)
		k.atLeast0("settings.state.next.write_rps", n.WriteRPS)
		k.atLeast0("settings.state.next.value_kb", n.ValueKB)
		if n.TxnOps != 0 && n.TxnOps < 4 {
			k.bad("settings.state.next.txn_ops", "must be at least 4, is %d", n.TxnOps)
		}
	}
	if v := s.MaxValue(); s.State.ValueKB > 0 && v < minValue {
		k.bad("settings.state.value_kb", "must leave %d bytes for a value, also in state.next, leaves %d", minValue, v)
	}
	if s.State.TxnOps < 4 {
		k.bad("settings.state.txn_ops", "must be at least 4, is %d", s.State.TxnOps)
	}
}

func (c *Config) checkOperator(k *checker) {
	if c.Operator.PermitMs < 500 || c.Operator.PermitMs > 600_000 {
		k.bad("operator.permit_ms", "must be 500 to 600000, is %d", c.Operator.PermitMs)
	}
	if c.Operator.MemoryPercent > 100 {
		k.bad("operator.memory_percent", "must be at most 100, is %d", c.Operator.MemoryPercent)
	}
	if strings.ContainsAny(c.Operator.KeyPrefix, " \t\n") || len(c.Operator.KeyPrefix) > 60 {
		k.bad("operator.key_prefix", "must be at most 60 bytes without spaces")
	}
}

// Bounds of the settings of fair admission.
const (
	minEpochMs, maxEpochMs = 1000, 30_000
	maxLagS                = 3600
	maxWeight              = 1000
)

// checkFairAdmission names every setting that is out of its bounds: a share that is not
// what the operator meant shows only under overload.
func (c *Config) checkFairAdmission(k *checker) {
	f := c.Operator.FairAdmission
	if f.EpochMs < minEpochMs || f.EpochMs > maxEpochMs {
		k.bad("operator.fair_admission.epoch_ms", "must be %d to %d, is %d", minEpochMs, maxEpochMs, f.EpochMs)
	}
	if f.FloorPercent > 100 {
		k.bad("operator.fair_admission.floor_percent", "must be at most 100, is %d", f.FloorPercent)
	}
	if f.LagS > maxLagS {
		k.bad("operator.fair_admission.lag_s", "must be at most %d, is %d", maxLagS, f.LagS)
	}
	teams := map[string]bool{}
	for _, t := range c.Settings.Teams {
		teams[t.Name] = true
	}
	type name struct{ team, class string }
	seen := map[name]bool{}
	for i, w := range f.Weights {
		field := fmt.Sprintf("operator.fair_admission.weights[%d]", i)
		if !teams[w.Team] {
			k.bad(field+".team", "no such team: %q", w.Team)
		}
		if seen[name{w.Team, w.Class}] {
			k.bad(field, "given twice: team %q, class %q", w.Team, w.Class)
		}
		seen[name{w.Team, w.Class}] = true
		if w.Weight < 1 || w.Weight > maxWeight {
			k.bad(field+".weight", "must be 1 to %d, is %d", maxWeight, w.Weight)
		}
	}
}

// minValue is the least that a value must be able to hold: a job with every field but its
// lists, a part of the finished ranges of a job.
const minValue = 900

// Warnings are settings that can be lived with, but that the operator should know
// of; each names its field.
func (c *Config) Warnings() []string {
	var out []string
	warn := func(field, format string, args ...any) { out = append(out, field+": "+fmt.Sprintf(format, args...)) }
	s := &c.Settings
	if calls := c.Sockets().Calls; calls < 32 {
		warn("settings.machine_limits.max_connections", "%d leave %d for calls to workers: a new holder asks few machines at a time", s.MachineLimits.MaxConnections, calls)
	}
	if s.MachineLimits.MemoryMB < 48 {
		warn("settings.machine_limits.memory_mb", "%v is little more than a process without jobs needs", s.MachineLimits.MemoryMB)
	}
	if s.Workers.LeaseS < 3*s.Workers.ReportS {
		warn("settings.workers.lease_s", "%v is less than three report times of %v: two lost answers end a machine's tasks", s.Workers.LeaseS, s.Workers.ReportS)
	}
	for i, t := range s.Teams {
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
			warn(fmt.Sprintf("settings.teams[%d].cpus", i), "%v are guaranteed, but cpus_max allows %v", t.CPUs, t.CPUsMax)
		}
		if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			warn(fmt.Sprintf("settings.teams[%d].gpus", i), "%v are guaranteed, but gpus_max allows %v", t.GPUs, t.GPUsMax)
		}
	}
	if l := s.StateLimits(); l.WriteRPS/float64(max(1, s.Nodes)) < 4 {
		warn("settings.state.write_rps", "%v leaves each controller less than 4 changes a second", l.WriteRPS)
	}
	return out
}

// Sockets is how the process's sockets are shared out.
type Sockets struct {
	Calls   int // direct calls to workers, idle connections included
	Service int // calls to state service and cloud
	Serve   int // workers and users
}

// minServe is how many sockets must be left for workers and users.
const minServe = 4

// ownSockets is how many the controllers need among themselves, and for the least of
// calls: two listeners, one out and a few in for each sibling, calls to workers, state
// service and cloud.
func (c *Config) ownSockets() int { return 1 + 5*len(c.Peers) + 2 + 4 }

// Sockets shares max_connections out: what this process opens itself is bounded
// and small, so that every worker of a fleet finds room for its reports, also
// when all of them come to one controller.
func (c *Config) Sockets() Sockets {
	most := c.Settings.MachineLimits.MaxConnections
	s := Sockets{Calls: max(2, most/8), Service: min(64, max(4, most/16))}
	siblings := 1 + 5*len(c.Peers) // two listeners, one out and a few in for each
	s.Serve = max(minServe, most-s.Calls-s.Service-siblings-most/64)
	return s
}

// finishedBytes is about what a finished job takes in memory, measured.
const finishedBytes = 400

// MaxCachedTerminalJobs is how many finished jobs every controller keeps in memory: a
// sixteenth of it at most, and no more than a start reads in about a second within
// its share of the state service's requests. Older ones are read when asked for.
func (c *Config) MaxCachedTerminalJobs() int {
	s := &c.Settings
	memory := s.MachineLimits.MemoryMB * 1e6 / 16 / finishedBytes
	list := s.StateLimits().RPS / float64(max(1, s.Nodes)) * 500
	return int(min(memory, list))
}

// AgentLease is the worker lease.
func (c *Config) AgentLease() micros.Time { return micros.FromSeconds(c.Settings.Workers.LeaseS) }

// AgentLeaseExpiry is how long after a holder's last possible answer a worker's
// lease has surely ended: drift on both sides, timer steps and a hop added.
func (c *Config) AgentLeaseExpiry() micros.Time {
	l := c.AgentLease()
	return l + l/500 + 500*micros.Millisecond
}

// LeadershipTerm is how long a holder may answer its workers without news from the state
// service. Term + lease_s + margins <= cancel_s: a holder that is cut off alone
// from the state service does not see a cancellation, and the cancelled tasks
// must still end in time.
func (c *Config) LeadershipTerm() micros.Time {
	cancel := micros.FromSeconds(c.Settings.Workers.CancelS)
	return cancel - c.AgentLeaseExpiry() - cancel/500 - micros.Second
}
