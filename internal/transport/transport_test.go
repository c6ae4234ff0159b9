package transport

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pipitlatch/internal/config"
	"pipitlatch/internal/config/configtest"
)

// TestMain fails if a test leaks goroutines: everything that a controller starts must end with it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// discardLog returns a logger that discards its records.
func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// mustClose fails the test if a connection, body or listener can't be closed.
func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}

// freeAddress returns a free port on a loopback address that nothing else uses, so that no outgoing
// connection takes the port before the controller listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.78:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, l)
	return l.Addr().String()
}

// startController runs a controller on loopback whose key-value store and cloud are unavailable.
func startController(t *testing.T) string {
	t.Helper()
	down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }))
	t.Cleanup(down.Close)
	addr := freeAddress(t)
	unavailable := strings.TrimPrefix(down.URL, "http://")
	site := configtest.Site{
		Member:         "n",
		Listen:         addr,
		InternalAddr:   freeAddress(t),
		Cloud:          unavailable,
		Store:          unavailable,
		MaxConnections: 100,
	}
	cfg, err := config.Parse(site.Platform(), nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, cfg, discardLog()) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for range 100 {
		if c, err := net.Dial("tcp", addr); err == nil {
			mustClose(t, c)
			return addr
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("controller does not accept connections")
	return ""
}

// TestResponsesDuringOutage checks the statuses that need no key-value store, and that all other requests are
// rejected promptly with a Retry-After header.
func TestResponsesDuringOutage(t *testing.T) {
	addr := startController(t)
	job := `{"ref":"wk-000001","jobclass":"c","owner":"alpha","shape":"array","rank":"low",` +
		`"shards":1,"cores":1,"gpus":0,"ram_gb":1,"bundle":"i","size_gb":1,"one_zone":false,"apart":false,"loaners":false,` +
		`"expect_s":1,"snapshot_every_s":0,"snapshot_s":0}`
	report := `{"host":"vm-000001","endpoint":"127.0.0.1:1","hull":"h","berth":"a","loaners":false,` +
		`"tenure":1,"tick":1,"warrant":0,"shards":[]}`
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{"POST", "/submissions", "nonsense", 400},
		{"POST", "/submissions", `{"ref":"x"}`, 400},
		{"POST", "/submissions", "{" + strings.Repeat(" ", 70_000) + "}", 400},
		{"POST", "/submissions", job, 503},
		{"POST", "/submissions", strings.Replace(job, `"shards":1`, `"shards":0`, 1), 503}, // the job may already be stored
		{"GET", "/submissions/wk-000001", "", 503},
		{"GET", "/submissions/other", "", 404},
		{"POST", "/submissions/wk-000001/abort", "", 503},
		{"POST", "/submissions/other/abort", "", 404},
		{"POST", "/v1/report", "{", 400},
		{"POST", "/v1/report", report, 503},
		{"GET", "/nowhere", "", 404},
		{"DELETE", "/submissions", "", 405},
	} {
		req, err := http.NewRequest(c.method, "http://"+addr+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s %s: %v", c.method, c.path, err)
		}
		mustClose(t, resp.Body)
		if resp.StatusCode != c.want {
			t.Errorf("%s %s %.40s: got %d, want %d", c.method, c.path, c.body, resp.StatusCode, c.want)
		}
		if c.want == 503 && resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s %s: no Retry-After", c.method, c.path)
		}
		if took := time.Since(begin); took > 2*time.Second {
			t.Errorf("%s %s: answered after %v", c.method, c.path, took)
		}
	}
}

func TestRequestLimitRejectsImmediately(t *testing.T) {
	hold, entered := make(chan bool), make(chan bool, 64)
	var refused atomic.Int64
	limit := newRequestLimit(4)
	srv := httptest.NewServer(limit.guard(func(w http.ResponseWriter, _ *http.Request) {
		entered <- true
		<-hold
		writeJSON(w, 200, nil)
	}, func() { refused.Add(1) }))
	defer srv.Close()
	done := make(chan int, 4)
	for range 4 {
		go func() {
			resp, err := http.Get(srv.URL)
			if err != nil {
				done <- 0
				return
			}
			mustClose(t, resp.Body)
			done <- resp.StatusCode
		}()
	}
	for range 4 {
		<-entered
	}
	resp, err := http.Get(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	mustClose(t, resp.Body)
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("beyond the limit: %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	close(hold)
	for range 4 {
		if got := <-done; got != 200 {
			t.Errorf("within the limit: %d", got)
		}
	}
}

// getOrReport sends a malformed heartbeat or a user's GET request, on a new connection.
func getOrReport(t *testing.T, addr, path string) (*http.Response, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var resp *http.Response
	var err error
	if path == "/v1/report" {
		resp, err = client.Post("http://"+addr+path, "application/json", strings.NewReader("{"))
	} else {
		resp, err = client.Get("http://" + addr + path)
	}
	if err == nil {
		mustClose(t, resp.Body)
	}
	return resp, err
}

// TestUserConnectionsCloseNearLimit: near the connection limit, users' connections are closed after the
// response and agents' connections are kept. Above the limit all connections are refused.
func TestUserConnectionsCloseNearLimit(t *testing.T) {
	addr := startController(t)
	open := 0
	openConnections := func(n int) {
		for ; open < n; open++ {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { mustClose(t, c) })
		}
	}
	for _, c := range []struct {
		connections int
		path        string
		closes, err bool
	}{
		{0, "/submissions/wk-000001", false, false},
		{72, "/submissions/wk-000001", true, false},
		{72, "/v1/report", false, false},
		{90, "/v1/report", false, true},
	} {
		openConnections(c.connections)
		for try := 0; ; try++ { // some connections may not be accepted yet
			resp, err := getOrReport(t, addr, c.path)
			if (err != nil) == c.err && (err != nil || resp.Close == c.closes) {
				break
			}
			if try == 20 {
				t.Errorf("%d connections, %s: %v, %v", c.connections, c.path, resp, err)
				break
			}
			if c.err {
				// The previous probe's connection may still have counted when the others were opened, so
				// that one of them was refused in its place.
				openConnections(c.connections + try + 1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
