// Package config reads and validates the platform's settings file (TOML) and the operator's settings
// (protobuf text format). Both files keep the names that operators use: siblings are peers, workers
// are agents, state is the key-value store, queues are partitions, and permit is the member lease.
package config

//go:generate protoc --go_out=. --go_opt=paths=source_relative operator.proto

// Peer is another controller of the cluster.
type Peer struct {
	Member  string `toml:"member"`
	Zone    string `toml:"zone"`
	Address string `toml:"address"`
}

// Services are the addresses of the external services that a controller calls.
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

// Workers are the fixed intervals and time limits of agents, in seconds.
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
	// Next holds limits that will take effect at an unannounced time.
	Next *NextState `toml:"next"`
}

// NextState are upcoming limits of the key-value store; omitted limits do not change.
type NextState struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud are the limits of the cloud API.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// MachineLimits are the resource limits of the machine that the controller runs on.
type MachineLimits struct {
	CPU            float64 `toml:"cpu"`
	MemoryMB       float64 `toml:"memory_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Settings are the settings of the deployment, identical for every controller. The parser's errors, which
// operators see, contain the names of this type and its fields.
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

// Platform is the settings file that the platform provides to one controller.
type Platform struct {
	Member       string   `toml:"member"`
	Zone         string   `toml:"zone"`
	Listen       string   `toml:"listen"`
	InternalAddr string   `toml:"internal_addr"`
	Peers        []Peer   `toml:"siblings"`
	Services     Services `toml:"services"`
	Settings     Settings `toml:"settings"`
}

// Config is the complete configuration of a controller.
type Config struct {
	Platform
	Operator *Operator
}
