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
	for _, b := range u.balancers {
		n := b.node
		b.record(u.w.now, n.up() && !n.paused && n.core.Healthy() && u.w.cutBetween(usersHost, n.name) == nil)
	}
	u.w.after(micros.Second, u.probeHealth)
}

// record takes the result of a probe. A node is removed after two bad ones in a row, or three of
// six; it is back after two good ones, and a delay that doubles if it was removed of late.
func (b *balancer) record(now micros.Time, ok bool) {
	probes := append(b.recentProbes, ok)
	probes = probes[max(0, len(probes)-6):]
	b.recentProbes = probes
	count, bad := len(probes), 0
	for _, ok := range probes {
		if !ok {
			bad++
		}
	}
	beforeOK := count >= 2 && probes[count-2]
	twoBad := count >= 2 && !probes[count-1] && !probes[count-2]
	switch {
	case b.healthy && (bad >= 3 || twoBad):
		if b.removedAt > 0 && now-b.removedAt < 120*micros.Second {
			b.readmissionDelay = min(60*micros.Second, 2*b.readmissionDelay)
		} else {
			b.readmissionDelay = 3 * micros.Second
		}
		b.healthy, b.removedAt = false, now
	case !b.healthy && ok && (!b.everHealthy || (beforeOK && now-b.removedAt >= b.readmissionDelay)):
		b.healthy, b.everHealthy, b.recentProbes = true, true, nil
	}
}

// connect finds the node of a user's connection: the one it has, while that node
// lives and has not been unhealthy for long, or a healthy one.
func (u *users) connect(j *userJob) *balancer {
	w := u.w
	if j != nil && j.requests.connection != nil {
		b := j.requests.connection
		same := b.node.up() && b.node.incarnation == j.requests.connectionIncarnation
		if same && (b.healthy || w.now-b.removedAt < 5*micros.Second) {
			return b
		}
		j.requests.connection = nil
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
		j.requests.connection, j.requests.connectionIncarnation = b, b.node.incarnation
	}
	return b
}

// pinConnection gives a job's user a connection to a node.
func (u *users) pinConnection(j *userJob, n *node) {
	for _, b := range u.balancers {
		if b.node == n {
			j.requests.connection, j.requests.connectionIncarnation = b, n.incarnation
		}
	}
}
