package transport

import (
	"container/list"
	"context"
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

// requestGrace is how long a connection may take to send its first request before it is closed in favour of a new
// one, if the limit is reached.
const requestGrace = 500 * time.Millisecond

// boundedListener closes connections beyond a limit, so that sockets remain for the controller's own
// calls. A refused user retries at another controller. Connections that have not sent a whole request yet give way
// to new ones, so that silent clients do not keep agents and health checks from being served.
type boundedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	waiting waitingConns

	log      *slog.Logger
	refusals rate.Sometimes // rate limit for log records of refused connections
}

// boundedConn counts as open until it is closed for the first time.
type boundedConn struct {
	net.Conn
	once     sync.Once
	listener *boundedListener

	acceptedAt time.Time
	element    *list.Element // in listener.waiting; nil once a whole request was received
}

// waitingConns are the connections that have not sent a whole request yet, in the order of their acceptance.
type waitingConns struct {
	mutex sync.Mutex
	conns list.List // of *boundedConn
}

// add adds a connection that was just accepted.
func (w *waitingConns) add(c *boundedConn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c.element = w.conns.PushBack(c)
}

// remove removes a connection if it is still waiting.
func (w *waitingConns) remove(c *boundedConn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if c.element != nil {
		w.conns.Remove(c.element)
		c.element = nil
	}
}

// overdue removes and returns the connection that has waited longest, if that is longer than requestGrace.
func (w *waitingConns) overdue(now time.Time) *boundedConn {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	front := w.conns.Front()
	if front == nil {
		return nil
	}
	c, ok := front.Value.(*boundedConn)
	if !ok || now.Sub(c.acceptedAt) < requestGrace {
		return nil
	}
	w.conns.Remove(front)
	c.element = nil
	return c
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.reserve() {
			c := &boundedConn{Conn: conn, listener: l, acceptedAt: time.Now()}
			l.waiting.add(c)
			return c, nil
		}
		closeQuietly(conn)
		l.refusals.Do(func() {
			l.log.Warn("connection refused: max_connections is too small for the fleet and its users", "serving", l.limit)
		})
	}
}

// reserve counts a new connection and reports whether the limit allows it, if necessary after closing one that is
// overdue with its request.
func (l *boundedListener) reserve() bool {
	if l.open.Add(1) <= l.limit {
		return true
	}
	if overdue := l.waiting.overdue(time.Now()); overdue != nil {
		closeQuietly(overdue)
		return true
	}
	l.open.Add(-1)
	return false
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(func() {
		c.listener.waiting.remove(c)
		c.listener.open.Add(-1)
	})
	return c.Conn.Close()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn stores a connection in the context of its requests; it is an http.Server's ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// requestReceived records that a request was received whole, so that its connection is not closed for a new one.
func requestReceived(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*boundedConn); ok {
		c.listener.waiting.remove(c)
	}
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
