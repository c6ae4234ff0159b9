package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const good = `
member = "node-0"
zone = "a"
listen = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
future = 1
[[siblings]]
member = "node-1"
zone = "a"
address = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
nodes = 2
zones = ["a"]
skew_ms = 5.0
[[settings.teams]]
name = "alpha"
cpus = 16.0
cpus_max = 48.0
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
list_lag_s = 8.0
[settings.machine_limits]
cpu = 0.24
memory_mb = 125.0
max_connections = 1000
`

func TestGoodSettings(t *testing.T) {
	c, err := Parse([]byte(good), []byte("permit_ms: 3000 queues: 2"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Operator.PermitMs != 3000 || c.Operator.SilenceMs != 3000 || c.Settings.Teams[0].CPUsMax != 48 {
		t.Errorf("got %+v", c.Operator)
	}
	// Term, lease and margins together stay within cancel_s.
	if got := c.LeadershipTerm() + c.AgentLeaseExpiry(); got >= 35_000_000 || got < 30_000_000 {
		t.Errorf("term and lease take %d us, want 30 s to 35 s", got)
	}
}

// TestBadSettings checks that every invalid setting gives one line that begins with its field.
func TestBadSettings(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{`member = "node-0"`, ``, "member:"},
		{`listen = "10.0.0.1:8080"`, `listen = "here"`, "listen:"},
		{`state = "10.2.0.1:2379"`, ``, "services.state:"},
		{`address = "10.0.0.2:8081"`, ``, "siblings[0].address:"},
		{`nodes = 2`, `nodes = 0`, "settings.nodes:"},
		{`nodes = 2`, `nodes = "two"`, "settings.nodes:"},
		{`name = "alpha"`, ``, "settings.teams[0].name:"},
		{`cpus_max = 48.0`, `cpus_max = -1.0`, "settings.teams[0].cpus_max:"},
		{`cpus_max = 48.0`, "cpus_max = 48.0\n[[settings.teams]]\nname = \"alpha\"", "settings.teams[1].name:"},
		{`cpus = 16.0`, `cpus = -1.0`, "settings.teams[0].cpus:"},
		{`max_connections = 1000`, `max_connections = 15`, "settings.machine_limits.max_connections:"},
		{`lease_s = 10.0`, `lease_s = 0.0`, "settings.workers.lease_s:"},
		{`cancel_s = 35.0`, `cancel_s = 8.0`, "settings.workers.cancel_s:"},
		{`txn_ops = 12`, `txn_ops = 1`, "settings.state.txn_ops:"},
		{`max_connections = 1000`, `max_connections = 2`, "settings.machine_limits.max_connections:"},
	} {
		_, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)), nil)
		if err == nil || !strings.HasPrefix(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want one line on %s", c.to, err, c.field)
		}
	}
	bad := strings.Replace(strings.Replace(good, `member = "node-0"`, "", 1), "nodes = 2", "nodes = 0", 1)
	if _, err := Parse([]byte(bad), nil); err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("got %v, want two errors", err)
	}
	if _, err := Parse([]byte(good), []byte("no_such_field: 1")); err == nil {
		t.Error("operator settings with an unknown field were accepted")
	}
}

// TestWarnings checks that settings that are valid but likely to cause problems give a warning, not an
// error.
func TestWarnings(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{"", "", ""},
		{`max_connections = 1000`, `max_connections = 100`, "settings.machine_limits.max_connections:"},
		{`cpus = 16.0`, `cpus = 49.0`, "settings.teams[0].cpus:"},
		{`memory_mb = 125.0`, `memory_mb = 40.0`, "settings.machine_limits.memory_mb:"},
		{`lease_s = 10.0`, `lease_s = 4.0`, "settings.workers.lease_s:"},
		{`write_rps = 25.0`, `write_rps = 6.0`, "settings.state.write_rps:"},
	} {
		cfg, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)), nil)
		if err != nil {
			t.Fatal(err)
		}
		w := strings.Join(cfg.Warnings(), "\n")
		if !strings.HasPrefix(w, c.field) || strings.Contains(w, "\n") || (w == "") != (c.field == "") {
			t.Errorf("%q: got %q, want one line on %q", c.to, w, c.field)
		}
	}
}

// TestSockets checks that the parts of all uses together stay within the limit, and that at least a
// quarter is left for inbound connections of agents and users.
func TestSockets(t *testing.T) {
	for _, most := range []int{16, 100, 1000, 3606} {
		settings := strings.Replace(good, "max_connections = 1000", fmt.Sprint("max_connections = ", most), 1)
		cfg, err := Parse([]byte(settings), nil)
		if err != nil {
			t.Fatal(err)
		}
		s := cfg.Sockets()
		if s.Calls+s.Service+s.Serve > most || s.Serve < most/4 {
			t.Errorf("max_connections = %d: %+v", most, s)
		}
	}
}

// TestUpcomingLimits checks that the smaller of current and upcoming limits applies from the start, and
// that invalid upcoming limits are rejected.
func TestUpcomingLimits(t *testing.T) {
	withNext := func(limits string) []byte {
		return []byte(strings.Replace(good, "[settings.cloud]", "[settings.state.next]\n"+limits+"\n[settings.cloud]", 1))
	}
	c, err := Parse(withNext("write_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := c.Settings.StateLimits(), (State{RPS: 100, WriteRPS: 18, ValueKB: 2, TxnOps: 4}); got != want {
		t.Errorf("limits: got %+v, want %+v", got, want)
	}
	if got := c.Settings.MaxValue(); got >= 2048 {
		t.Errorf("maximum value size: got %d bytes, want less than 2048", got)
	}
	for _, bad := range []string{"txn_ops = 3", "value_kb = 0.5", "write_rps = -1.0"} {
		if _, err := Parse(withNext(bad), nil); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}

// TestFairAdmissionSettings checks that the file in deploy/ is valid, that fair admission is off by
// default, and that every invalid setting is named on a line of its own.
func TestFairAdmissionSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/fair-admission.textproto")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse([]byte(good), text)
	if err != nil {
		t.Fatal(err)
	}
	if f := c.Operator.FairAdmission; !f.Enabled || f.EpochMs != 4000 || f.FloorPercent != 25 || f.LagS != 60 {
		t.Errorf("got %+v", f)
	}
	if c, err = Parse([]byte(good), nil); err != nil || c.Operator.FairAdmission.Enabled {
		t.Errorf("invalid, or fair admission is not off by default: %v", err)
	}
	bad := `fair_admission { enabled: true epoch_ms: 500 floor_percent: 101 lag_s: 4000
		weights { team: "nobody" weight: 2 } weights { team: "alpha" weight: 2000 }
		weights { team: "alpha" weight: 3 } weights { team: "alpha" class: "x" } }`
	_, err = Parse([]byte(good), []byte(bad))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, field := range []string{"epoch_ms", "floor_percent", "lag_s",
		"weights[0].team", "weights[1].weight", "weights[2]", "weights[3].weight"} {
		if strings.Count(err.Error(), "operator.fair_admission."+field+":") != 1 {
			t.Errorf("%s is not named exactly once: %v", field, err)
		}
	}
	if n := strings.Count(err.Error(), "\n"); n != 6 {
		t.Errorf("got %d lines, want 7: %v", n+1, err)
	}
}
