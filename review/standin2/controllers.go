package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is one controller: its addresses, its settings file, and its process while it runs.
type node struct {
	member, listen, internal string
	settings                 string
	process                  *exec.Cmd
	exited                   chan struct{}
}

// shape is what a deployment is like: the settings that the stand-ins keep to as well.
type shape struct {
	team                     string
	zones                    []string
	reportS, leaseS, cancelS float64
	limits                   storeLimits
	next                     string // lines of settings.state.next; "": none
	cloudRPS, listLagS       float64
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }() // nothing was sent on it
	return listener.Addr().String(), nil
}

// newNodes returns three controllers with addresses of their own.
func newNodes(dir string) ([]*node, error) {
	var nodes []*node
	for i := range 3 {
		listen, err := freeAddress()
		if err != nil {
			return nil, err
		}
		internal, err := freeAddress()
		if err != nil {
			return nil, err
		}
		member := fmt.Sprintf("latchhost-%d", i)
		nodes = append(nodes, &node{
			member: member, listen: listen, internal: internal, settings: filepath.Join(dir, member+".toml"),
		})
	}
	return nodes, nil
}

// writeSettings writes the settings file of a controller in the form of the deploy page.
func (w *world) writeSettings(n *node, next bool) error {
	var b strings.Builder
	add := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	s := w.shape
	add("member = %q\nzone = %q\nlisten = %q\ninternal_addr = %q", n.member, s.zones[0], n.listen, n.internal)
	for _, other := range w.nodes {
		if other != n {
			add("[[siblings]]\nmember = %q\nzone = %q\naddress = %q", other.member, s.zones[0], other.internal)
		}
	}
	add("[services]\ncloud = %q\nstate = %q", w.cloudServer.address, w.storeServer.address)
	add("[settings]\nnodes = 3\nzones = [%q]\nskew_ms = 5.0", strings.Join(s.zones, `", "`))
	add("[[settings.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0", s.team)
	add("[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = %.1f",
		s.reportS, s.leaseS, s.cancelS)
	add("[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d",
		s.limits.rps, s.limits.writeRPS, s.limits.valueKB, s.limits.txnOps)
	if next && s.next != "" {
		add("[settings.state.next]\n%s", s.next)
	}
	add("[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f", s.cloudRPS, s.listLagS)
	add("[settings.machine_limits]\ncpu = 0.24\nmemory_mb = 125.0\nmax_connections = 1000")
	text := strings.ReplaceAll(b.String(), `\"`, `"`)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts a controller as the deploy file says: the words of the command, then the settings file.
func (w *world) start(n *node, command []string) error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	n.process = exec.Command(command[0], append(command[1:len(command):len(command)], n.settings)...)
	n.process.Stderr, n.process.Stdout = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the case
	n.process.Env = append(os.Environ(), "LOG_LEVEL=info")
	if err := n.process.Start(); err != nil {
		return err
	}
	process, exited := n.process, make(chan struct{})
	n.exited = exited
	go func() {
		_ = process.Wait() // it ends when it is killed
		close(exited)
	}()
	w.rec.say("%s starts (process %d)", n.member, process.Process.Pid)
	return nil
}

// kill kills a controller's process and waits for its end.
func (w *world) kill(n *node) {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill() // fails only if it has ended
	<-n.exited
	w.rec.say("%s is killed", n.member)
	n.process = nil
}

// up reports whether a controller says that it can serve.
func (w *world) up(n *node) bool {
	status, _ := call(w.client, http.MethodGet, "http://"+n.listen+"/up", nil, time.Second)
	return status == http.StatusOK
}
