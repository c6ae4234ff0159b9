package scenario

import (
	"strings"
	"testing"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// storeClient asks a store of its own, with nothing around it but the simulated time.
type storeClient struct {
	*keyValueStore
}

func newStoreClient() storeClient {
	return storeClient{newKeyValueStore(newSimulation(1, func(string, ...any) {}), 4, 64)}
}

// ask sends a request and returns the answer, which has ten seconds; status 0: there was none.
func (c storeClient) ask(method, path, body string) (status int, answer string) {
	c.handle("node-0", protocol.HTTPRequest{Method: method, Path: path, Body: []byte(body)}, func(s int, b []byte) {
		status, answer = s, string(b)
	})
	c.sim.run(c.sim.now + 10*micros.Second)
	return status, answer
}

// set sets a key without a compare.
func (c storeClient) set(t *testing.T, key string) {
	t.Helper()
	if status, answer := c.ask("POST", "/commit", `{"writes":[{"set":"`+key+`","v":1}]}`); status != 200 {
		t.Fatalf("%s is not set: %d %s", key, status, answer)
	}
}

// setIfFirst sets a key if its revision is 1.
const setIfFirst = `{"if":[{"key":"a","stamp":1}],"writes":[{"set":"a","v":2}]}`

// storeCases are requests to a store, with what the protocol says of their answers.
var storeCases = []struct {
	name         string
	prepare      func(t *testing.T, c storeClient)
	method, path string
	body         string
	status       int
	answer       string // part of it
}{
	{"compare with the current revision commits", func(t *testing.T, c storeClient) { c.set(t, "a") },
		"POST", "/commit", setIfFirst, 200, `"ledger":2`},
	{"compare with an older revision names the key", func(t *testing.T, c storeClient) { c.set(t, "a"); c.set(t, "a") },
		"POST", "/commit", setIfFirst, 409, `"failed":["a"]`},
	{"compare with a key that is not there fails", nil, "POST", "/commit", setIfFirst, 409, `"failed":["a"]`},
	{"compare with revision 0 creates", nil,
		"POST", "/commit", `{"if":[{"key":"a","stamp":0}],"writes":[{"set":"a","v":1}]}`, 200, `"ledger":1`},
	{"a value that is too large is malformed", nil,
		"POST", "/commit", `{"writes":[{"set":"a","v":"` + strings.Repeat("x", 64) + `"}]}`, 400, "too large"},
	{"too many operations are malformed", nil,
		"POST", "/commit", `{"writes":[` + strings.Repeat(`{"delete":"a"},`, 4) + `{"delete":"a"}]}`, 400, "malformed"},
	{"a lease that is not there is refused", nil,
		"POST", "/commit", `{"writes":[{"set":"a","v":1,"permit":7}]}`, 400, "no such lease"},
	{"more writes than the pace allows are refused", func(_ *testing.T, c storeClient) { c.limits.writeRPS = 1 },
		"POST", "/commit", `{"writes":[{"delete":"a"},{"delete":"b"}]}`, 429, ""},
	{"a lookup has the revision and the lease", func(t *testing.T, c storeClient) { c.set(t, "a") },
		"GET", "/store/a", "", 200, `"permit":0,"stamp":1`},
	{"a list has the keys below a prefix", func(t *testing.T, c storeClient) { c.set(t, "a/1"); c.set(t, "b/1") },
		"GET", "/store?under=b/", "", 200, `"rows":[{"key":"b/1"`},
	{"a watch has what came after its revision", func(t *testing.T, c storeClient) { c.set(t, "a"); c.set(t, "b") },
		"GET", "/changes?after=1&block_ms=1000", "", 200, `"log":[{"set":"b"`},
	{"a watch without news ends empty", func(t *testing.T, c storeClient) { c.set(t, "a") },
		"GET", "/changes?after=1&block_ms=1000", "", 200, `"log":[]`},
	{"a watch from before the history is gone", func(t *testing.T, c storeClient) {
		c.historyLimit = 2
		for range 4 {
			c.set(t, "a")
		}
	}, "GET", "/changes?after=1&block_ms=1000", "", 410, ""},
	{"a member that is refused is answered so", func(_ *testing.T, c storeClient) {
		c.faults.refusedMembers["node-0"] = true
	}, "GET", "/store/a", "", 503, ""},
}

// TestStoreStandIn holds the stand-in against what the protocol says of the key-value store.
func TestStoreStandIn(t *testing.T) {
	for _, x := range storeCases {
		t.Run(x.name, func(t *testing.T) {
			c := newStoreClient()
			if x.prepare != nil {
				x.prepare(t, c)
			}
			if status, answer := c.ask(x.method, x.path, x.body); status != x.status || !strings.Contains(answer, x.answer) {
				t.Errorf("%d %s, want %d %s", status, answer, x.status, x.answer)
			}
		})
	}
}

// TestStoreLeases: a key goes with its lease, and stays as long as that is kept alive.
func TestStoreLeases(t *testing.T) {
	c := newStoreClient()
	status, answer := c.ask("POST", "/grants", `{"ttl_ms":15000}`)
	if status != 200 || !strings.Contains(answer, `"permit":1`) {
		t.Fatalf("no lease: %d %s", status, answer)
	}
	if status, answer := c.ask("POST", "/grants/1/touch", ""); status != 200 {
		t.Fatalf("not kept alive: %d %s", status, answer)
	}
	if status, answer := c.ask("POST", "/commit", `{"writes":[{"set":"a","v":1,"permit":1}]}`); status != 200 {
		t.Fatalf("not set, though the lease was kept alive: %d %s", status, answer)
	}
	c.sim.run(c.sim.now + 15*micros.Second)
	if status, _ := c.ask("GET", "/store/a", ""); status != 404 {
		t.Errorf("the key outlived its lease: %d", status)
	}
	if status, _ := c.ask("POST", "/grants/1/touch", ""); status != 404 {
		t.Errorf("a lease that ended was kept alive: %d", status)
	}
}

// TestStoreOutage: after an outage leases have their full time again.
func TestStoreOutage(t *testing.T) {
	c := newStoreClient()
	if status, answer := c.ask("POST", "/grants", `{"ttl_ms":15000}`); status != 200 {
		t.Fatalf("no lease: %d %s", status, answer)
	}
	c.outage(true)
	if status, _ := c.ask("POST", "/grants/1/touch", ""); status != 503 {
		t.Errorf("answered in an outage: %d", status)
	}
	c.sim.run(c.sim.now + 60*micros.Second)
	c.outage(false)
	c.sim.run(c.sim.now + micros.Second)
	if status, _ := c.ask("POST", "/grants/1/touch", ""); status != 200 {
		t.Errorf("the lease ended in the outage: %d", status)
	}
}

// TestStoreLosesReplies: a transaction whose reply is lost is carried out all the same, at once; a
// late one is carried out seconds later.
func TestStoreLosesReplies(t *testing.T) {
	cases := []struct {
		name       string
		faults     storeFaultState
		now, later bool // whether it is carried out at once, and after half a minute
	}{
		{"lost", storeFaultState{lostReplyShare: 1}, true, true},
		{"late", storeFaultState{lateCommitShare: 1}, false, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := newStoreClient()
			c.faults = x.faults
			c.transact([]byte(`{"writes":[{"set":"a","v":1}]}`), func(status int, _ []byte) { t.Errorf("answered %d", status) })
			if _, now := c.keys["a"]; now != x.now {
				t.Errorf("carried out at once: %v", now)
			}
			c.sim.run(30 * micros.Second)
			if _, later := c.keys["a"]; later != x.later {
				t.Errorf("carried out in half a minute: %v", later)
			}
		})
	}
}
