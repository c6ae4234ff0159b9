// Package scenario plays scenarios, written as small text files, against the core in simulated
// time: with stand-ins of the key-value store, the cloud, the agents and the users, written from
// the protocol, and with faults. Every rule of the protocol is checked after every step. Messages
// cross the wire format, so that encoding and decoding are played too. All of it is test code.
//
// What is where:
//
//   - script_test.go reads a scenario's lines, play_test.go plays it with its seeds.
//   - cluster_test.go sets a deployment up; platform_settings_test.go writes settings files.
//   - actions_test.go, user_actions_test.go, service_faults_test.go and agent_faults_test.go read
//     what happens, one small parser an action; expectations_test.go and
//     deployment_expectations_test.go say what is expected in the end.
//   - world_test.go has the simulated time and the deployment, network_test.go the hosts and the
//     cuts between them, controller_test.go the controllers, which run the real core.
//   - store_*_test.go, cloud_test.go, agent_*_test.go, users_test.go and balancer_test.go are the
//     stand-ins.
//   - rules_test.go and starvation_rule_test.go are the rules; checks_test.go shows that each is
//     found broken when it is.
//   - digest_test.go records what leaves the controllers, to compare versions.
//   - live_test.go, process_test.go and deployment_test.go play the same stand-ins in real time
//     against real processes, for loopback_test.go, upgrade_test.go and overload_test.go.
package scenario
