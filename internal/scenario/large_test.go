package scenario

import (
	"fmt"
	"strings"
	"testing"

	"pipitlatch/internal/micros"
)

// large is a deployment of some 350 machines with services and arrays.
func large() string {
	var b strings.Builder
	b.WriteString(`cluster teams=alpha:0:0 rps=100 write_rps=25
type small cores=8 ram=64 zones=a,b capacity=65 spot_capacity=65 boot=20 price=0.62 spot_price=0.23
type medium cores=32 ram=256 zones=a,b capacity=20 spot_capacity=15 boot=15 price=2.49 spot_price=0.97
type large cores=64 ram=128 zones=a,b capacity=10 spot_capacity=2 boot=10 price=4.05 spot_price=1.52
at 0 submit wk-000001 jobs=150 every=0.01 shape=service rank=production cores=4 image=img-9
`)
	for i := range 40 {
		fmt.Fprintf(&b, "at %d submit wk-1%03d00 jobs=2 every=1 tasks=40 cores=4 ram=4 runs=60 "+
			"spot=yes due=160 image=img-%d class=renewal\n", i*3, i, i%8)
		fmt.Fprintf(&b, "at %d submit wk-2%03d00 jobs=2 every=1 tasks=150 cores=2 ram=2 runs=20 "+
			"spot=yes due=55 image=img-2%d class=reminder\n", i*3, i, i%4)
	}
	b.WriteString("until 120\n")
	return b.String()
}

// BenchmarkLargeDeployment plays two minutes of it, stand-ins included.
func BenchmarkLargeDeployment(b *testing.B) {
	for b.Loop() {
		r, err := Play(large(), func(string, ...any) {})
		if err != nil || len(r.Broken) > 0 {
			b.Fatal(err, r.Broken)
		}
		b.ReportMetric(float64(r.Starts), "starts")
	}
}

// fleet4000 is a deployment of 4,000 machines, on which services and arrays of short tasks run.
func fleet4000() string {
	var b strings.Builder
	b.WriteString("cluster teams=alpha:0:0 heartbeat=5 lease=26.5 cancel=51.5 ")
	b.WriteString(`rps=500 write_rps=100 connections=7200 memory=500
type small cores=8 ram=32 zones=a,b,c capacity=1500 spot_capacity=0 boot=10 fetch=4
machine small on-demand zone=a n=1334
machine small on-demand zone=b n=1333
machine small on-demand zone=c n=1333
at 0 submit wk-000001 jobs=20 every=0.02 shape=service tasks=100 rank=production cores=4 ram=5 image=img-1
`)
	for i := range 30 {
		fmt.Fprintf(&b, "at %d submit wk-2%03d00 jobs=8 every=0.2 tasks=100 cores=2 ram=2 "+
			"runs=20 due=60 image=img-2\n", 3+2*i, i)
	}
	b.WriteString("until 80\n")
	return b.String()
}

// BenchmarkFleet4000 plays 80 s of it and reports what the controllers had to do in a second of simulated time.
func BenchmarkFleet4000(b *testing.B) {
	s, err := parseScript(fleet4000())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		w, err := s.play("", 1, func(string, ...any) {})
		if err != nil || len(w.broken) > 0 {
			b.Fatal(err, w.broken)
		}
		seconds := micros.Seconds(s.until)
		b.ReportMetric(float64(w.users.startCount)/seconds, "starts/s")
		b.ReportMetric(float64(w.observed.load.heartbeats)/seconds, "heartbeats/s")
		b.ReportMetric(float64(w.observed.load.agentCalls)/seconds, "calls/s")
		b.ReportMetric(float64(w.observed.load.storeWrites)/seconds, "transactions/s")
		b.ReportMetric(w.observed.load.stepTime.Seconds()*1000/seconds, "core-ms/s")
	}
}
