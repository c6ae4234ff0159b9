package scenario

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pipitlatch/internal/protocol"
)

// live plays a world in real time, its outside services and agents on loopback.
type live struct {
	mu      sync.Mutex
	w       *World
	begin   time.Time
	control string            // the controller's address
	nodes   map[string]string // addresses of controllers, if there are several
	clients []*http.Client    // of the agents
	oks     int

	ctx     context.Context // ends with the test
	servers []*httptest.Server
}

// newLive serves a world's stand-ins on loopback; its clock stands still until runClock.
func newLive(t *testing.T, w *World) *live {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &live{w: w, begin: time.Now(), nodes: map[string]string{}, ctx: ctx}
	t.Cleanup(func() {
		cancel()
		for _, s := range l.servers {
			s.CloseClientConnections()
		}
	})
	w.loopback.listenAddress = func(m *machine) string {
		return l.listen(func(r protocol.HTTPRequest, reply replyFunc) {
			if r.Path == "/show" {
				m.serveStatus(reply)
			} else {
				m.serveCommands(r.Body, reply)
			}
		})
	}
	w.loopback.sendHeartbeat = l.post
	return l
}

// runClock has the world's time pass until the test is over.
func (l *live) runClock() {
	go func() {
		for l.ctx.Err() == nil {
			time.Sleep(2 * time.Millisecond)
			l.with(func(*World) {})
		}
	}()
}

// listen serves a stand-in at an address of its own.
func (l *live) listen(handle func(r protocol.HTTPRequest, reply replyFunc)) string {
	s := httptest.NewServer(l.serve(handle))
	l.servers = append(l.servers, s)
	return s.Listener.Addr().String()
}

// with runs something in the world at the present time.
func (l *live) with(run func(*World)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.run(time.Since(l.begin).Microseconds())
	run(l.w)
}

// serve hands a request to a stand-in and waits for its answer.
func (l *live) serve(handle func(r protocol.HTTPRequest, reply replyFunc)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		type answer struct {
			status int
			body   []byte
		}
		ch := make(chan answer, 1)
		l.with(func(*World) {
			handle(protocol.HTTPRequest{Method: r.Method, Path: r.URL.RequestURI(), Body: body}, func(status int, b []byte) {
				select {
				case ch <- answer{status, b}:
				default:
				}
			})
		})
		select {
		case a := <-ch:
			w.WriteHeader(a.status)
			_, _ = w.Write(a.body) // the controller may have given up
		case <-r.Context().Done():
		}
	})
}

func newHTTPClient() *http.Client {
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, IdleConnTimeout: time.Minute}
	return &http.Client{Timeout: 5 * time.Second, Transport: transport}
}

// post sends a agent's heartbeat over its own connection.
func (l *live) post(m *machine, raw []byte, end replyFunc) {
	n, _ := strconv.Atoi(strings.TrimPrefix(m.name, "vm-"))
	for len(l.clients) <= n {
		l.clients = append(l.clients, newHTTPClient())
	}
	c, control := l.clients[n], l.control
	if a := l.nodes[m.heartbeats.controller]; a != "" {
		control = a
	}
	go func() {
		status, body := 0, []byte(nil)
		if resp, err := c.Post("http://"+control+"/v1/report", "application/json", bytes.NewReader(raw)); err == nil {
			status = resp.StatusCode
			body, _ = io.ReadAll(resp.Body) // a torn answer is no JSON, and counts as none
			_ = resp.Body.Close()           // it was read
		}
		l.with(func(*World) {
			if status == 200 {
				l.oks++
			}
			end(status, body)
		})
	}()
}

// firstControllerPort is below the ports that the system gives to connections and listeners.
const firstControllerPort = 20_000

// controllerAddresses counts the addresses that controllers of this process were given.
var controllerAddresses atomic.Uint32

// controllerAddress is an address of a controller that nobody else has, nor takes while the controller
// is away: a controller that comes back listens where it did, and another deployment's agents and
// peers, which have the same names, must not find it in place of their own. The host is that of
// this process, so that two runs of the tests on one machine do not meet.
func controllerAddress() string {
	pid := os.Getpid()
	host := net.IPv4(127, byte(1+pid>>16&0x3f), byte(pid>>8), byte(pid))
	port := firstControllerPort + int(controllerAddresses.Add(1))
	return net.JoinHostPort(host.String(), strconv.Itoa(port))
}

// addMachinesOf adds a type to the cloud, and machines of it that run already.
func (l *live) addMachinesOf(t *instanceType, count int) {
	l.with(func(w *World) {
		w.cloud.instanceTypes = append(w.cloud.instanceTypes, t)
		for range count {
			w.cloud.addMachine(t, "a", false, true)
		}
	})
}
