// Package transport performs the core's I/O: the HTTP server for users, agents and health checks, the
// clients of the key-value store, the cloud and the agents, and the connections between controllers. A
// single loop, the driver's, steps the core.
package transport

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pipitlatch/internal/config"
)

// shutdownTimeout is how long requests in progress may take after shutdown begins.
const shutdownTimeout = time.Second

// Run serves until ctx ends. When it returns, the driver, its calls and the connections between controllers
// have ended, and the connections of requests that exceeded shutdownTimeout are closed.
func Run(ctx context.Context, cfg *config.Config, log *slog.Logger) error {
	incarnation := rand.Text()
	d := newDriver(cfg, incarnation, log)

	public, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	internal, err := net.Listen("tcp", cfg.InternalAddr)
	if err != nil {
		closeQuietly(public)
		return fmt.Errorf("internal_addr: %w", err)
	}

	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // deferred calls run in reverse order: cancel before the wait
	tasks.Go(func() { d.peers.run(ctx, internal) })
	tasks.Go(func() { d.run(ctx) })
	log.Info("serving", "member", cfg.Member, "incarnation", incarnation, "listen", cfg.Listen,
		"internal", cfg.InternalAddr)
	return d.serve(ctx, public)
}

// serve handles HTTP requests of users, agents and health checks until ctx ends. It closes the listener.
func (d *driver) serve(ctx context.Context, listener net.Listener) error {
	bounded := &boundedListener{
		Listener: listener,
		limit:    int64(d.cfg.Sockets().Serve),
		log:      d.log,
		refusals: rate.Sometimes{First: 1, Interval: refusalLogInterval},
	}
	server := &http.Server{
		Handler:           d.routes(bounded),
		ConnContext:       withConn,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      10 * time.Second,
		IdleTimeout:       idleTimeout(d.cfg),
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(bounded) }() // returns at shutdown at the latest
	select {
	case err := <-failed:
		closeQuietly(server)
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdown)
	if err != nil {
		closeQuietly(server) // closes the connections of requests still in progress
	}
	if served := <-failed; !errors.Is(served, http.ErrServerClosed) {
		d.log.Debug("serving ended", "err", served)
	}
	return err
}

// closeQuietly closes c after a failure or at shutdown and ignores the error, which no caller could act on.
func closeQuietly(c io.Closer) { _ = c.Close() }
