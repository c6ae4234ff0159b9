package scenario

import (
	"fmt"
	"strings"
	"testing"
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
