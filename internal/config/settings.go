// Package config reads and checks the platform's settings file (TOML) and the operators' own settings
// (protobuf text format). The names in both files stay as operators know them: siblings are peers,
// workers are agents, state is the key-value store, queues are partitions, permit is the member lease.
package config

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

// Team is a team's guaranteed quota and its limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for the start or the end of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers are the agents' fixed times, in seconds.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// State are the limits of the key-value store.
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

// Settings are the deployment's settings, the same for every controller. The parser names this type, and
// its fields, in its errors, which operators get.
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

// Config is everything that a controller is configured with.
type Config struct {
	Platform
	Operator *Operator
}
