package main

// midlands is the deployment of the licence platform: times of workers, and limits of the services, are
// those of the brief.
var midlands = shape{
	team:    "licensing-core",
	zones:   []string{"derby-east", "leicester-north", "nottingham-west"},
	reportS: 1.5, leaseS: 10, cancelS: 35,
	limits:   storeLimits{rps: 100, writeRPS: 25, valueKB: 16, txnOps: 12},
	cloudRPS: 8, listLagS: 8,
}
