// Package scenario runs the scheduler core in a deterministic simulation. Scenarios are small text
// files; the key-value store, the cloud, the agents and the users are fakes written from the
// protocol, and faults can be injected into each of them. The invariants of the protocol are
// checked throughout a run. Messages are encoded and decoded as on the wire, so that the codecs
// are tested too. The package contains test code only.
//
// Layout:
//
//   - script_test.go parses scenarios; play_test.go runs a scenario with each of its seeds.
//   - cluster_test.go sets up a deployment; platform_settings_test.go writes settings files.
//   - actions_test.go, user_actions_test.go, service_faults_test.go and agent_faults_test.go parse
//     actions and faults, with one small parser for each; expectations_test.go and
//     deployment_expectations_test.go check the expected outcome.
//   - world_test.go has the deployment and simulation_test.go the event loop; network_test.go has
//     the hosts and network partitions, controller_test.go the controllers, which run the real
//     core.
//   - store_*_test.go, cloud_test.go, agent_*_test.go, users_test.go and balancer_test.go are the
//     fakes.
//   - rules_test.go and starvation_rule_test.go check the invariants; checks_test.go verifies that
//     each check detects a violation.
//   - digest_test.go records the output of the controllers, for comparison between versions.
//   - live_test.go, process_test.go and deployment_test.go run the same fakes in real time against
//     real processes, for loopback_test.go, upgrade_test.go and overload_test.go.
package scenario
