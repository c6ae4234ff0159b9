package scenario

import (
	"strings"

	"pipitlatch/internal/micros"
)

// replyFunc takes the answer to a request; status 0: there was none.
type replyFunc func(status int, body []byte)

// storeHost, cloudHost and usersHost are the names of those that are neither controllers nor
// machines, as ends of cuts.
const (
	storeHost = "store"
	cloudHost = "cloud"
	usersHost = "users"
)

// network is what lies between hosts.
type network struct {
	cuts           []*cut
	interZoneDelay micros.Time // one way
	zoned          bool        // controllers are in zones too

	statusRepeatDelay micros.Time // messages between controllers arrive again up to this late; 0: once
}

// cut is an interruption between two hosts, or between one host and all others. An
// end may be a zone, with all that is in it now or later.
type cut struct {
	a, b    string // b "": everybody
	hold    bool   // packets are delivered afterwards, instead of never
	inbound bool   // only packets to a are lost
	held    []func()
}

// cutBetween finds what keeps packets from a from reaching b.
func (w *World) cutBetween(a, b string) *cut {
	for _, c := range w.network.cuts {
		if w.separatedBy(c, b, a) || (!c.inbound && w.separatedBy(c, a, b)) {
			return c
		}
	}
	return nil
}

// separatedBy tells whether one host is on the one side of a cut and the other on the other.
func (w *World) separatedBy(c *cut, one, other string) bool {
	if c.b == "" {
		return w.hostIsAt(c.a, one) && !w.hostIsAt(c.a, other)
	}
	return w.hostIsAt(c.a, one) && w.hostIsAt(c.b, other)
}

// hostIsAt tells whether a host is at an end of a cut: the host itself, or its zone.
func (w *World) hostIsAt(end, host string) bool {
	zone, ok := strings.CutPrefix(end, "zone-")
	return end == host || (ok && w.zoneOf(host) == zone)
}

// zoneOf is a host's zone; the key-value store, the cloud and users are in none.
func (w *World) zoneOf(host string) string {
	if n := w.node(host); n != nil {
		return n.config.Zone
	}
	if m := w.cloud.machines[host]; m != nil {
		return m.zone
	}
	return ""
}

// send delivers a packet after the network's delay, or holds or drops it.
func (w *World) send(from, to string, run func()) {
	if c := w.cutBetween(from, to); c != nil {
		if c.hold {
			c.held = append(c.held, run)
		}
		return
	}
	delay := 200 + w.random.Int64N(300)
	if w.network.interZoneDelay > 0 {
		if a, b := w.zoneOf(from), w.zoneOf(to); a != "" && b != "" && a != b {
			delay += w.network.interZoneDelay
		}
	}
	w.after(delay, run)
}

func (w *World) startCut(c *cut, length micros.Time) {
	w.network.cuts = append(w.network.cuts, c)
	w.after(length, func() {
		for i := range w.network.cuts {
			if w.network.cuts[i] == c {
				w.network.cuts = append(w.network.cuts[:i], w.network.cuts[i+1:]...)
				break
			}
		}
		for _, run := range c.held {
			w.after(w.random.Int64N(5*micros.Millisecond), run)
		}
	})
}
