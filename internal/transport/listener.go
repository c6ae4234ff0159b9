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

// refusalLogInterval is how often refused connections are logged.
const refusalLogInterval = 10 * time.Second

// boundedListener refuses connections beyond a number, so that this process keeps sockets for its own
// calls. A refused user goes to another controller.
type boundedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64

	log      *slog.Logger
	refusals rate.Sometimes // bounds what refused connections make us log
}

// boundedConn counts as open until it is closed for the first time.
type boundedConn struct {
	net.Conn
	once     sync.Once
	listener *boundedListener
}

// Accept is part of net.Listener.
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

// Close is part of net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// closeUserConnections ends users' connections with their answers while sockets are short: an agent
// that finds none loses its tasks when its lease ends, a user comes again.
func (l *boundedListener) closeUserConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.open.Load() > l.limit*7/8 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// idleTimeout ends connections whose other end is gone without a word: agents send heartbeats, and
// users ask, more often than that.
func idleTimeout(cfg *config.Config) time.Duration {
	return micros.Duration(max(15*micros.Second, micros.FromSeconds(4*cfg.Settings.Workers.ReportS)))
}
