package transport

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
)

// refusalLogInterval is the minimum interval between log records of refused connections.
const refusalLogInterval = 10 * time.Second

// boundedListener closes connections beyond a limit, so that sockets remain for the controller's own
// calls. A refused user retries at another controller.
type boundedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64

	log      *slog.Logger
	refusals rate.Sometimes // rate limit for log records of refused connections
}

// boundedConn counts as open until it is closed for the first time.
type boundedConn struct {
	net.Conn
	once     sync.Once
	listener *boundedListener
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &boundedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		closeQuietly(conn)
		l.refusals.Do(func() {
			l.log.Warn("connection refused: max_connections is too small for the fleet and its users", "serving", l.limit)
		})
	}
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// closeUserConnections closes users' connections after the response while more than 7/8 of the limit is in
// use. Agents take precedence: an agent that cannot connect loses its tasks when its lease expires, whereas
// a user can retry.
func (l *boundedListener) closeUserConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.open.Load() > l.limit*7/8 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// idleTimeout is how long a connection may be idle before it is closed as abandoned. Agents send
// heartbeats, and users poll, more often than that.
func idleTimeout(cfg *config.Config) time.Duration {
	return micros.Duration(max(15*micros.Second, micros.FromSeconds(4*cfg.Settings.Workers.ReportS)))
}
