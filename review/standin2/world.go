package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Times that the services take to answer, as in the kit's site files.
const (
	storeLatency = 3 * time.Millisecond
	cloudLatency = 120 * time.Millisecond
)

// mostTime is how long a case may take.
const mostTime = 118 * time.Second

// errNotRun is returned by a case whose preparations failed, so that it says nothing about the rule.
var errNotRun = errors.New("the case could not run")

// world is a deployment with its stand-ins.
type world struct {
	rec     *record
	shape   shape
	trouble bool
	judge   *judge
	users   *users
	cloud   *cloud
	nodes   []*node
	client  *http.Client

	storeServer, cloudServer *server
	dir                      string
}

func newWorld(rec *record, s shape, types []*machineType, trouble bool) (*world, error) {
	w := &world{rec: rec, shape: s, trouble: trouble, judge: newJudge(rec)}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
	w.users = newUsers(w, s.team)
	w.cloud = newCloud(w, types)
	var err error
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if w.storeServer, err = serve(loopback, delayed(storeLatency, newStore(rec, s.limits).handler())); err != nil {
		return nil, err
	}
	if w.cloudServer, err = serve(loopback, delayed(cloudLatency, w.cloud.handler())); err != nil {
		return nil, err
	}
	w.nodes, err = newNodes(w.dir)
	return w, err
}

// startAll starts all controllers and waits until they serve. next: the settings announce limits.
func (w *world) startAll(command []string, next bool) error {
	for _, n := range w.nodes {
		if err := w.writeSettings(n, next); err != nil {
			return err
		}
		if err := w.start(n, command); err != nil {
			return err
		}
	}
	return w.until("all controllers serve", 15*time.Second, func() bool {
		for _, n := range w.nodes {
			if !w.up(n) {
				return false
			}
		}
		return true
	})
}

// until waits for a condition that the case needs in order to go on.
func (w *world) until(what string, within time.Duration, condition func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			w.rec.say("%s", what)
			return nil
		}
	}
	return fmt.Errorf("%w: not within %v: %s", errNotRun, within, what)
}

// endInTime ends a case that takes too long or is to stop, and its controllers with it.
func (w *world) endInTime() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(mostTime):
	}
	w.rec.say("the case is broken off")
	w.close("")
	_ = w.rec.close() // the exit code says that the case did not run
	os.Exit(exitNotRun)
}

// close ends all processes that the case started, and keeps their logs beside the record.
func (w *world) close(logs string) {
	for _, n := range w.nodes {
		w.kill(n)
		if text, err := os.ReadFile(n.settings + ".log"); err == nil && logs != "" {
			_ = os.WriteFile(filepath.Join(logs, n.member+".log"), text, 0o600) // only for reading
		}
	}
	_ = os.RemoveAll(w.dir) // a temporary folder
}
