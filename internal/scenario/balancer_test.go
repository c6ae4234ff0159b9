package scenario

import (
	"pipitlatch/internal/micros"
)

// balancer is the load balancer's view of one node.
type balancer struct {
	node             *node
	healthy          bool
	everHealthy      bool
	recentProbes     []bool // results of probes, the newest last
	removedAt        micros.Time
	readmissionDelay micros.Time
}

// probeHealth asks every node once a second whether it is well.
func (u *users) probeHealth() {
	w := u.w
	for _, b := range u.balancers {
		n := b.node
		ok := n.up() && !n.paused && n.core.Healthy() && w.cutBetween(usersHost, n.name) == nil
		b.recentProbes = append(b.recentProbes, ok)
		b.recentProbes = b.recentProbes[max(0, len(b.recentProbes)-6):]
		k := len(b.recentProbes)
		bad := 0
		for _, ok := range b.recentProbes {
			if !ok {
				bad++
			}
		}
		switch {
		case b.healthy && (bad >= 3 || (k >= 2 && !b.recentProbes[k-1] && !b.recentProbes[k-2])):
			if b.removedAt > 0 && w.now-b.removedAt < 120*micros.Second {
				b.readmissionDelay = min(60*micros.Second, 2*b.readmissionDelay)
			} else {
				b.readmissionDelay = 3 * micros.Second
			}
			b.healthy, b.removedAt = false, w.now
		case !b.healthy && ok && (!b.everHealthy || (k >= 2 && b.recentProbes[k-2] && w.now-b.removedAt >= b.readmissionDelay)):
			b.healthy, b.everHealthy, b.recentProbes = true, true, nil
		}
	}
	w.after(micros.Second, u.probeHealth)
}

// connect finds the node of a user's connection: the one it has, while that node
// lives and has not been unhealthy for long, or a healthy one.
func (u *users) connect(j *userJob) *balancer {
	w := u.w
	if j != nil && j.connection != nil {
		b := j.connection
		if b.node.incarnation == j.connectionIncarnation && b.node.up() && (b.healthy || w.now-b.removedAt < 5*micros.Second) {
			return b
		}
		j.connection = nil
	}
	var list []*balancer
	for _, b := range u.balancers {
		if b.healthy && b.node.up() {
			list = append(list, b)
		}
	}
	if len(list) == 0 {
		return nil
	}
	b := list[w.random.IntN(len(list))]
	if j != nil {
		j.connection, j.connectionIncarnation = b, b.node.incarnation
	}
	return b
}

// pinConnection gives a job's user a connection to a node.
func (u *users) pinConnection(j *userJob, n *node) {
	for _, b := range u.balancers {
		if b.node == n {
			j.connection, j.connectionIncarnation = b, n.incarnation
		}
	}
}
