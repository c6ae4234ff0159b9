package config

import (
	"fmt"
	"net"
	"strings"
)

// minValue is the minimum size limit of a value in bytes. It fits a job with all fields except its
// lists, or one part of a job's completed ranges.
const minValue = 900

// Minimum numbers of sockets, and of operations per transaction, that a controller needs.
const (
	minConnections = 16
	minTxnOps      = 4
)

// FieldError reports an invalid setting. Its text is shown to operators, one line per setting.
type FieldError struct {
	Field   string // full path of the field, as named in the file
	Problem string
}

// Error begins with the path of the field.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// checker collects the errors found in settings.
type checker struct{ errs []error }

func (k *checker) reject(field, format string, args ...any) {
	k.errs = append(k.errs, &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (k *checker) address(field, v string) {
	if _, _, err := net.SplitHostPort(v); err != nil {
		k.reject(field, "not an address with a port: %q", v)
	}
}

func (k *checker) positive(field string, v float64) {
	if !(v > 0) {
		k.reject(field, "must be above 0, is %v", v)
	}
}

func (k *checker) nonNegative(field string, v float64) {
	if !(v >= 0) {
		k.reject(field, "must not be negative, is %v", v)
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
	k.nonNegative("settings.cloud.list_lag_s", s.Cloud.ListLagS)
	k.positive("settings.machine_limits.memory_mb", s.MachineLimits.MemoryMB)
	if need := max(minConnections, c.minReservedSockets()+minServe); s.MachineLimits.MaxConnections < need {
		k.reject("settings.machine_limits.max_connections",
			"must be at least %d for the controllers themselves, is %d", need, s.MachineLimits.MaxConnections)
	}
	if s.Workers.LeaseS > 0 && s.Workers.CancelS > 0 && c.LeadershipTerm() <= 0 {
		k.reject("settings.workers.cancel_s", "leaves no term beyond lease_s: %v", s.Workers.CancelS)
	}
	c.checkOperator(k)
	c.checkFairAdmission(k)
	return k.errs
}

func (c *Config) checkMember(k *checker) {
	if c.Member == "" {
		k.reject("member", "missing")
	}
	k.address("listen", c.Listen)
	k.address("internal_addr", c.InternalAddr)
	k.address("services.cloud", c.Services.Cloud)
	k.address("services.state", c.Services.State)
	for i, peer := range c.Peers {
		if peer.Member == "" {
			k.reject(fmt.Sprintf("siblings[%d].member", i), "missing")
		}
		k.address(fmt.Sprintf("siblings[%d].address", i), peer.Address)
	}
}

func (c *Config) checkTeams(k *checker) {
	s := &c.Settings
	if s.Nodes < 1 {
		k.reject("settings.nodes", "must be at least 1, is %d", s.Nodes)
	}
	if len(s.Teams) == 0 {
		k.reject("settings.teams", "missing")
	}
	names := map[string]bool{}
	for i, t := range s.Teams {
		f := fmt.Sprintf("settings.teams[%d].", i)
		if t.Name == "" || names[t.Name] {
			k.reject(f+"name", "missing or given twice: %q", t.Name)
		}
		names[t.Name] = true
		k.nonNegative(f+"cpus", t.CPUs)
		k.nonNegative(f+"cpus_max", t.CPUsMax)
		k.nonNegative(f+"gpus", t.GPUs)
		k.nonNegative(f+"gpus_max", t.GPUsMax)
	}
}

func (s *Settings) checkState(k *checker) {
	k.positive("settings.state.rps", s.State.RPS)
	k.positive("settings.state.write_rps", s.State.WriteRPS)
	k.positive("settings.state.value_kb", s.State.ValueKB)
	if n := s.State.Next; n != nil {
		k.nonNegative("settings.state.next.rps", n.RPS)
		k.nonNegative("settings.state.next.write_rps", n.WriteRPS)
		k.nonNegative("settings.state.next.value_kb", n.ValueKB)
		if n.TxnOps != 0 && n.TxnOps < minTxnOps {
			k.reject("settings.state.next.txn_ops", "must be at least %d, is %d", minTxnOps, n.TxnOps)
		}
	}
	if v := s.MaxValue(); s.State.ValueKB > 0 && v < minValue {
		k.reject("settings.state.value_kb", "must leave %d bytes for a value, also in state.next, leaves %d", minValue, v)
	}
	if s.State.TxnOps < minTxnOps {
		k.reject("settings.state.txn_ops", "must be at least %d, is %d", minTxnOps, s.State.TxnOps)
	}
}

func (c *Config) checkOperator(k *checker) {
	if c.Operator.PermitMs < 500 || c.Operator.PermitMs > 600_000 {
		k.reject("operator.permit_ms", "must be 500 to 600000, is %d", c.Operator.PermitMs)
	}
	if c.Operator.MemoryPercent > 100 {
		k.reject("operator.memory_percent", "must be at most 100, is %d", c.Operator.MemoryPercent)
	}
	if strings.ContainsAny(c.Operator.KeyPrefix, " \t\n") || len(c.Operator.KeyPrefix) > 60 {
		k.reject("operator.key_prefix", "must be at most 60 bytes without spaces")
	}
}

// Bounds on the settings for fair admission.
const (
	minEpochMs, maxEpochMs = 1000, 30_000
	maxLagS                = 3600
	maxWeight              = 1000
)

// checkFairAdmission reports every setting that is out of bounds: an unintended share would become
// apparent only under overload.
func (c *Config) checkFairAdmission(k *checker) {
	f := c.Operator.FairAdmission
	if f.EpochMs < minEpochMs || f.EpochMs > maxEpochMs {
		k.reject("operator.fair_admission.epoch_ms", "must be %d to %d, is %d", minEpochMs, maxEpochMs, f.EpochMs)
	}
	if f.FloorPercent > 100 {
		k.reject("operator.fair_admission.floor_percent", "must be at most 100, is %d", f.FloorPercent)
	}
	if f.LagS > maxLagS {
		k.reject("operator.fair_admission.lag_s", "must be at most %d, is %d", maxLagS, f.LagS)
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
			k.reject(field+".team", "no such team: %q", w.Team)
		}
		if seen[name{w.Team, w.Class}] {
			k.reject(field, "given twice: team %q, class %q", w.Team, w.Class)
		}
		seen[name{w.Team, w.Class}] = true
		if w.Weight < 1 || w.Weight > maxWeight {
			k.reject(field+".weight", "must be 1 to %d, is %d", maxWeight, w.Weight)
		}
	}
}
