package transport

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"pipitlatch/internal/coordination/messages"
	"pipitlatch/internal/micros"
)

// metricsInterval is the shortest time between two updates of the metrics.
const metricsInterval = micros.Second

// The metrics of a controller.
var (
	commandsSent = prometheus.NewDesc("pipitlatch_commands_sent_total",
		"Commands sent to agents.", []string{"operation"}, nil)
	callsRejected = prometheus.NewDesc("pipitlatch_agent_calls_rejected_total",
		"Calls whose commands an agent rejected for their fencing token or epoch.", nil, nil)
	repeatedStarts = prometheus.NewDesc("pipitlatch_repeated_starts_total",
		"Attempts that an agent reports after their start command was over.", nil, nil)
	duplicateAttempts = prometheus.NewDesc("pipitlatch_duplicate_attempts_total",
		"Second attempts at an active task.", nil, nil)
	tokenRenewals = prometheus.NewDesc("pipitlatch_token_renewals_total",
		"New fencing tokens under a lease.", nil, nil)
	attemptsEnded = prometheus.NewDesc("pipitlatch_attempts_ended_total",
		"Attempts taken as over, by what showed it.", []string{"evidence"}, nil)
	replicaWait = prometheus.NewDesc("pipitlatch_silent_machine_replica_seconds_total",
		"Time from the last contact with machines to the end of their replicas.", nil, nil)
	storeRevision = prometheus.NewDesc("pipitlatch_store_revision",
		"Revision of the key-value store that was read.", nil, nil)
	clusterLeader = prometheus.NewDesc("pipitlatch_cluster_leader",
		"1 on the cluster leader.", nil, nil)
	fencingToken = prometheus.NewDesc("pipitlatch_fencing_token",
		"Fencing token of a partition that this controller leads.", []string{"partition"}, nil)
	partitionMachines = prometheus.NewDesc("pipitlatch_machines",
		"Machines of a partition that this controller leads.", []string{"partition"}, nil)
)

// metricsCollector gives the metrics of the driver's last update to Prometheus.
type metricsCollector struct{ driver *driver }

// Describe sends the descriptions of all metrics.
func (c metricsCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		commandsSent, callsRejected, repeatedStarts, duplicateAttempts, tokenRenewals,
		attemptsEnded, replicaWait,
		storeRevision, clusterLeader, fencingToken, partitionMachines,
	} {
		descriptions <- d
	}
}

// Collect sends the values of all metrics.
func (c metricsCollector) Collect(values chan<- prometheus.Metric) {
	m := c.driver.metrics.Load()
	if m == nil {
		return
	}
	counter := func(d *prometheus.Desc, value uint64, labels ...string) {
		values <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		values <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	for operation, sent := range m.CommandsSent {
		counter(commandsSent, sent, messages.Operation(operation).String())
	}
	counter(callsRejected, m.CallsRejected)
	counter(repeatedStarts, m.RepeatedStarts)
	counter(duplicateAttempts, m.DuplicateAttempts)
	counter(tokenRenewals, m.TokenRenewals)
	for evidence, ended := range m.AttemptsEnded {
		counter(attemptsEnded, ended, messages.EndEvidence(evidence).String())
	}
	values <- prometheus.MustNewConstMetric(replicaWait, prometheus.CounterValue, micros.Seconds(m.ReplicaWait))
	gauge(storeRevision, float64(m.StoreRevision))
	gauge(clusterLeader, boolGauge(m.ClusterLeader))
	for _, p := range m.Partitions {
		partition := strconv.Itoa(p.Partition)
		gauge(fencingToken, float64(p.FencingToken), partition)
		gauge(partitionMachines, float64(p.Machines), partition)
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// newMetricsRegistry returns a registry with the metrics of a controller.
func newMetricsRegistry(d *driver) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(metricsCollector{d})
	return registry
}

// updateMetrics makes the core's metrics available to the server, at most once per metricsInterval.
func (d *driver) updateMetrics() {
	now := d.monotonicNow()
	if now < d.nextMetricsAt {
		return
	}
	d.nextMetricsAt = now + metricsInterval
	m := d.core.Metrics()
	d.metrics.Store(&m)
}
