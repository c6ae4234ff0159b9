package scenario

import (
	"bufio"
	"compress/gzip"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/protocol"
)

// digest is the record of what leaves the nodes in one case with one seed, for
// scripts/compare-behaviour.sh. It names no type or field of the code: values are hashed
// as they are on the wire, so that two versions with other names have the same record.
//
// With PIPITLATCH_DIGESTS_FULL=1 there is a line for every message: time in us, sender,
// kind, receiver, hash. Without, there is a line for each simulated second, sender and
// kind: number of messages and the hash of their lines; kind ~order has the lines of all
// kinds in their order. Both end with the keys of the key-value store: key, hash of its
// value, version.
type digest struct {
	file   *os.File
	packed *gzip.Writer
	out    *bufio.Writer
	full   bool
	second micros.Time
	sums   map[digestKey]*digestSum // of this second
}

type digestKey struct{ sender, kind string }

type digestSum struct {
	count int
	hash  hash.Hash64
}

// orderKind stands for all kinds; it sorts after them.
const orderKind = "~order"

// newDigest begins a record below the directory that PIPITLATCH_DIGESTS names. Without
// one, or for a scenario without a name, there is none: nil, which records nothing.
func newDigest(name string, seed uint64) (*digest, error) {
	dir := os.Getenv("PIPITLATCH_DIGESTS")
	if dir == "" || name == "" {
		return nil, nil
	}
	path := filepath.Join(dir, fmt.Sprintf("%s.seed-%d.gz", name, seed))
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, err
	}
	// A second case of the same name would overwrite the first one's record.
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return nil, err
	}
	full := os.Getenv("PIPITLATCH_DIGESTS_FULL") == "1"
	d := &digest{file: f, packed: gzip.NewWriter(f), full: full, sums: map[digestKey]*digestSum{}}
	d.out = bufio.NewWriter(d.packed)
	return d, nil
}

func shortHash(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d ", len(p)) // a hash takes everything; where a part ends counts too
		h.Write(p)
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:8])
}

// message records that something leaves a node.
func (d *digest) message(n *node, kind, receiver string, parts ...[]byte) {
	if d == nil {
		return
	}
	now := n.w.now
	line := fmt.Sprintf("%d %s %s %s %s\n", now, n.name, kind, receiver, shortHash(parts...))
	if d.full {
		_, _ = d.out.WriteString(line) // an error stays with the writer until finish
		return
	}
	if second := now / micros.Second; second != d.second {
		d.endSecond()
		d.second = second
	}
	for _, k := range []string{kind, orderKind} {
		sum := d.sums[digestKey{n.name, k}]
		if sum == nil {
			sum = &digestSum{hash: fnv.New64a()}
			d.sums[digestKey{n.name, k}] = sum
		}
		sum.count++
		sum.hash.Write([]byte(line))
	}
}

func (d *digest) endSecond() {
	keys := make([]digestKey, 0, len(d.sums))
	for k := range d.sums {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		return a.sender < b.sender || (a.sender == b.sender && a.kind < b.kind)
	})
	for _, k := range keys {
		sum := d.sums[k]
		at := d.second * micros.Second
		_, _ = fmt.Fprintf(d.out, "%d %s %s %d %016x\n", at, k.sender, k.kind, sum.count, sum.hash.Sum64())
	}
	clear(d.sums)
}

// request records a call to a service.
func (d *digest) request(n *node, to string, r protocol.HTTPRequest, timeout micros.Time) {
	if d == nil {
		return
	}
	path, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "?")
	kind, _, _ := strings.Cut(path, "/")
	d.message(n, to+":"+r.Method+":"+kind, to, []byte(r.Path), r.Body, []byte(strconv.FormatInt(timeout, 10)))
}

// command records a call to a agent.
func (d *digest) command(n *node, c *messages.AgentCall, body []byte) {
	kind := "worker:commands"
	if c.StatusOnly {
		kind = "worker:show"
	}
	d.message(n, kind, c.Address, body, []byte(strconv.FormatInt(c.Timeout, 10)))
}

// status records a message to a peer. The bytes of a sketch depend on the order in which
// Go goes through a map, though its contents do not: they are brought into one order first,
// in a copy.
func (d *digest) status(n *node, p messages.PeerMessage, raw []byte) {
	if d == nil {
		return
	}
	if p.Status.Demand != nil {
		status, demand := *p.Status, *p.Status.Demand
		demand.Flows = slices.Clone(demand.Flows)
		for i := range demand.Flows {
			f := &demand.Flows[i]
			f.Asked = f.Asked.Clone()
			f.Asked.Estimate() // merges what was inserted into the sorted list
		}
		status.Demand = &demand
		raw = protocol.EncodePeerStatus(&status)
	}
	d.message(n, "sibling:status", p.To, raw)
}

// answer records an answer to a user or a agent. Users get a job's state as JSON, or a
// text; agents get commands, or another node's name.
func (d *digest) answer(n *node, a *messages.Response) {
	if d == nil {
		return
	}
	kind, body := "", []byte(nil)
	switch a.Kind {
	case messages.JobAccepted:
		kind, body = "accepted", protocol.EncodeJobStatus(a.Job)
	case messages.JobFound:
		kind, body = "job", protocol.EncodeJobStatus(a.Job)
	case messages.RequestMalformed:
		kind = "malformed"
	case messages.JobUnschedulable:
		kind = "impossible"
	case messages.JobNotFound:
		kind = "missing"
	case messages.ServiceUnavailable:
		kind = "unavailable"
	case messages.Overloaded:
		kind = "overloaded"
	case messages.HeartbeatAcknowledged:
		kind, body = "commands", protocol.EncodeHeartbeatReply(a.FencingToken, a.Commands)
	case messages.HeartbeatRedirected:
		kind, body = "elsewhere", protocol.EncodeRedirect(a.RedirectTo)
	default:
		panic("an answer of unknown kind")
	}
	retryAfter := strconv.FormatInt(a.RetryAfter, 10)
	d.message(n, "answer:"+kind, fmt.Sprintf("request-%d", a.Request), body, []byte(a.Reason), []byte(retryAfter))
}

// finish records the store's keys and ends the record.
func (d *digest) finish(s *keyValueStore) error {
	if d == nil {
		return nil
	}
	d.endSecond()
	keys := make([]string, 0, len(s.keys))
	for k := range s.keys {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		_, _ = fmt.Fprintf(d.out, "end state key %s %s %d\n", k, shortHash(s.keys[k].value), s.keys[k].modRevision)
	}
	return errors.Join(d.out.Flush(), d.packed.Close(), d.file.Close())
}
