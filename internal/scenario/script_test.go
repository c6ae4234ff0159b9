package scenario

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"

	"pipitlatch/internal/config"
	"pipitlatch/internal/micros"
)

// line is one line of a scenario: words, then settings of the form key=value.
type line struct {
	lineNumber int
	words      []string
	settings   map[string]string
}

func (l *line) word(i int) string {
	if i < len(l.words) {
		return l.words[i]
	}
	return ""
}

func (l *line) number(key string, d float64) float64 {
	if v, err := strconv.ParseFloat(l.settings[key], 64); err == nil {
		return v
	}
	return d
}

func (l *line) seconds(key string, d float64) micros.Time {
	return micros.FromSeconds(l.number(key, d))
}

func parseLine(no int, text string) *line {
	l := &line{lineNumber: no, settings: map[string]string{}}
	text, _, _ = strings.Cut(text, "#")
	for _, f := range strings.Fields(text) {
		if k, v, ok := strings.Cut(f, "="); ok && k != "" {
			l.settings[k] = v
		} else {
			l.words = append(l.words, f)
		}
	}
	return l
}

// Cases are the scenarios of a file: each `case NAME` line begins with a line that only
// this case has, the rest is common to all. A file without such lines is one scenario.
func Cases(text string) map[string]string {
	var names []string
	seen := map[string]bool{}
	lines := strings.Split(text, "\n")
	for _, l := range lines {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "case" && !seen[f[1]] {
			seen[f[1]] = true
			names = append(names, f[1])
		}
	}
	if len(names) == 0 {
		return map[string]string{"": text}
	}
	out := map[string]string{}
	for _, name := range names {
		var b strings.Builder
		for _, l := range lines {
			if f := strings.Fields(l); len(f) > 1 && f[0] == "case" {
				if f[1] != name {
					l = ""
				} else {
					l = strings.Join(f[2:], " ")
				}
			}
			b.WriteString(l + "\n")
		}
		out[name] = b.String()
	}
	return out
}

// parseLines reads a scenario, which begins with its cluster line.
func parseLines(text string) ([]*line, error) {
	var lines []*line
	sc := bufio.NewScanner(strings.NewReader(text))
	for no := 1; sc.Scan(); no++ {
		if l := parseLine(no, sc.Text()); len(l.words) > 0 {
			lines = append(lines, l)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, err
	}
	if len(lines) == 0 || lines[0].word(0) != "cluster" {
		return nil, fmt.Errorf("a scenario begins with a cluster line")
	}
	return lines, nil
}

// Result is what a scenario came to.
type Result struct {
	Broken []string // rules
	Failed []string // expectations
	Starts int
}

// Play plays a scenario. The same text gives the same result every time. With
// `seeds=5` on the cluster line it is played with five seeds in a row: the rules and
// expectations hold with each, but for amounts, which are a matter of luck from draw to
// draw: there the median is held against the bound.
func Play(text string, logf func(string, ...any)) (*Result, error) {
	return playNamed("", text, logf)
}

// playNamed plays a scenario whose digests, if they are asked for, have this name.
func playNamed(name, text string, logf func(string, ...any)) (*Result, error) {
	lines, err := parseLines(text)
	if err != nil {
		return nil, err
	}
	first, seeds := uint64(lines[0].number("seed", 1)), int(lines[0].number("seeds", 1))
	r := &Result{}
	missed := map[*line][]string{}
	for i := range seeds {
		w, expects, err := playOnce(name, lines, first+uint64(i), logf)
		if err != nil {
			return nil, err
		}
		r.Broken, r.Starts = append(r.Broken, w.broken...), r.Starts+w.users.startCount
		for _, l := range expects {
			if why := w.expect(l); why != "" {
				missed[l] = append(missed[l], fmt.Sprintf("seed %d: %s", first+uint64(i), why))
			}
		}
	}
	for _, l := range lines {
		// More than half of the seeds within a bound is the median within it.
		if n := len(missed[l]); n > 0 && (!amounts[l.word(1)] || 2*n > seeds) {
			r.Failed = append(r.Failed, fmt.Sprintf("line %d: expected %s: %s", l.lineNumber, strings.Join(l.words[1:], " "), strings.Join(missed[l], "; ")))
		}
	}
	return r, nil
}

// amounts are expectations of how much or how long, which is a matter of luck.
var amounts = map[string]bool{"done-within": true, "extra-starts": true, "starts": true, "replica-seconds": true,
	"machines": true, "machines-created": true, "accepted-share": true, "behind": true}

func playOnce(name string, lines []*line, seed uint64, logf func(string, ...any)) (*World, []*line, error) {
	w, err := newWorld(lines[0], seed, logf)
	if err != nil {
		return nil, nil, err
	}
	if w.digest, err = newDigest(name, seed); err != nil {
		return nil, nil, err
	}
	until := micros.Time(0)
	var expects []*line
	for _, l := range lines[1:] {
		switch l.word(0) {
		case "type":
			for i := range int(l.number("n", 1)) { // alike but for their names
				t := *l
				if t.words = []string{"type", l.word(1)}; i > 0 {
					t.words[1] = fmt.Sprintf("%s-%02d", l.word(1), i)
				}
				w.addType(&t)
			}
		case "machine":
			for _, t := range w.cloud.instanceTypes {
				for range int(l.number("n", 1)) {
					if t.name == l.word(1) {
						w.cloud.addMachine(t, l.settings["zone"], l.word(2) == "spot", true)
					}
				}
			}
		case "at":
			at, err := strconv.ParseFloat(l.word(1), 64)
			if err != nil {
				return nil, nil, fmt.Errorf("line %d: when?", l.lineNumber)
			}
			rest := &line{lineNumber: l.lineNumber, words: l.words[2:], settings: l.settings}
			if err := w.checkAction(rest); err != nil {
				return nil, nil, fmt.Errorf("line %d: %w", l.lineNumber, err)
			}
			w.after(micros.FromSeconds(at), func() { w.act(rest) })
		case "until":
			s, err := strconv.ParseFloat(l.word(1), 64)
			if err != nil {
				return nil, nil, fmt.Errorf("line %d: until when?", l.lineNumber)
			}
			until = micros.FromSeconds(s)
		case "expect":
			expects = append(expects, l)
		default:
			return nil, nil, fmt.Errorf("line %d: unknown: %s", l.lineNumber, l.word(0))
		}
	}
	for _, n := range w.nodes {
		n.start()
	}
	w.run(until)
	return w, expects, w.digest.finish(w.store)
}

func newWorld(l *line, seed uint64, logf func(string, ...any)) (*World, error) {
	w := &World{random: rand.New(rand.NewPCG(seed, 7)), logf: logf}
	nodes := int(l.number("nodes", 3))
	zones, nodeZones := []string{"a", "b"}, []string{"a"}
	if l.settings["zones"] != "" {
		zones = strings.Split(l.settings["zones"], ",")
		nodeZones, w.zoned = zones, true
	}
	w.interZoneDelay = micros.FromSeconds(l.number("distance_ms", 0) / 1000)
	settings := platformSettings(l, nodes, zones)
	for i := range nodes {
		operator := fmt.Sprintf("queues: %d ", int(l.number("partitions", 1))) + fairSettings(l, i)
		var own strings.Builder
		zone := func(k int) string { return nodeZones[k%len(nodeZones)] }
		fmt.Fprintf(&own, "member = \"node-%d\"\nzone = %q\n", i, zone(i))
		body := settings
		var sib strings.Builder
		for k := range nodes {
			if k != i {
				fmt.Fprintf(&sib, "[[siblings]]\nmember = \"node-%d\"\nzone = %q\naddress = \"10.0.0.%d:8081\"\n", k, zone(k), k+1)
			}
		}
		body = own.String() + strings.Replace(body, "[services]", sib.String()+"[services]", 1)
		conf, err := config.Parse([]byte(body), []byte(operator))
		if err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
		next, err := config.Parse([]byte(strings.Replace(body, "[settings.cloud]", nextLimits+"[settings.cloud]", 1)), []byte(operator))
		if err != nil {
			return nil, fmt.Errorf("cluster: %w", err)
		}
		if l.settings["next"] != "" {
			conf = next
		}
		w.config = conf
		w.nodes = append(w.nodes, &node{w: w, name: conf.Member, config: conf, nextConfig: next, drift: 1 + (w.random.Float64()-0.5)*0.001,
			skew: micros.Time((w.random.Float64() - 0.5) * 10_000)})
	}
	w.store = newKeyValueStore(w)
	w.store.historyLimit = int(l.number("history", 10_000))
	w.cloud = newCloud(w)
	w.users = newUsers(w)
	return w, nil
}

// platformSettings is the part of the platform's settings file that all nodes share.
func platformSettings(l *line, nodes int, zones []string) string {
	var toml strings.Builder
	fmt.Fprintf(&toml, "listen = \"10.0.0.1:8080\"\ninternal_addr = \"10.0.0.1:8081\"\n[services]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n")
	fmt.Fprintf(&toml, "[settings]\nnodes = %d\nzones = [\"%s\"]\nskew_ms = 5.0\n", nodes, strings.Join(zones, "\", \""))
	teams := l.settings["teams"]
	if teams == "" {
		teams = "alpha"
	}
	for _, t := range strings.Split(teams, ",") {
		p := append(strings.Split(t, ":"), "0", "0")
		fmt.Fprintf(&toml, "[[settings.teams]]\nname = %q\ncpus = %s.0\ncpus_max = %s.0\n", p[0], p[1], p[2])
	}
	for _, kind := range []string{"wait", "finished"} { // objectives: class:seconds
		if class, within, ok := strings.Cut(l.settings[kind], ":"); ok {
			fmt.Fprintf(&toml, "[[settings.objectives]]\nkind = %q\nclass = %q\nwithin_s = %s.0\nshare = 0.99\n", kind, class, within)
		}
	}
	if v := l.number("guarantee", 0); v > 0 {
		fmt.Fprintf(&toml, "[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = %v\nshare = 0.99\n", v)
	}
	fmt.Fprintf(&toml, "[settings.workers]\nreport_s = %v\nlease_s = %v\ncancel_s = %v\n", l.number("heartbeat", 1.5), l.number("lease", 10), l.number("cancel", 35))
	fmt.Fprintf(&toml, "[settings.state]\nrps = %v\nwrite_rps = %v\nvalue_kb = 8.0\ntxn_ops = 12\n", l.number("rps", 100), l.number("write_rps", 25))
	fmt.Fprintf(&toml, "[settings.cloud]\nrps = %v\nlist_lag_s = 3.0\n[settings.machine_limits]\ncpu = 0.24\nmemory_mb = %v\nmax_connections = %d\n", l.number("cloud_rps", 6), l.number("memory", 125), int(l.number("connections", 1000)))
	return toml.String()
}

// nextLimits are smaller limits of the state service that are to come.
const nextLimits = "[settings.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4\n"

func (w *World) addType(l *line) {
	t := &instanceType{name: l.word(1), cores: l.number("cores", 8), ramGB: l.number("ram", 32), price: l.number("price", 0.4), spotPrice: l.number("spot_price", 0.15),
		cacheGB: l.number("cache", 80), fetchGBPerSecond: l.number("fetch", 0.5), bootTime: l.seconds("boot", 20), capacity: map[string]int{}}
	zones := l.settings["zones"]
	if zones == "" {
		zones = "a"
	}
	t.zones = strings.Split(zones, ",")
	for _, z := range t.zones {
		t.capacity[z+"/on-demand"] = int(l.number("capacity", 5))
		t.capacity[z+"/spot"] = int(l.number("spot_capacity", 3))
	}
	w.cloud.instanceTypes = append(w.cloud.instanceTypes, t)
}

// nodesFor finds nodes by name, or "partition-leader", "others", "other" (one of them), "nodes", or
// "all", which in a cut means machines too.
func (w *World) nodesFor(what string) []*node {
	switch what {
	case "all", "nodes":
		return w.nodes
	case "partition-leader":
		return []*node{w.partitionLeader()}
	case "other":
		if list := w.nodesFor("others"); len(list) > 0 {
			return list[:1]
		}
		return nil
	case "others":
		h := w.partitionLeader()
		var out []*node
		for _, n := range w.nodes {
			if n != h {
				out = append(out, n)
			}
		}
		return out
	}
	if n := w.node(what); n != nil {
		return []*node{n}
	}
	return nil
}

// resolveZone names the zone of the holder, the next one or the one after that.
func (w *World) resolveZone(what string) string {
	for i, z := range w.config.Settings.Zones {
		if z == w.partitionLeader().config.Zone {
			switch n := len(w.config.Settings.Zones); what {
			case "leader-zone":
				return "zone-" + z
			case "next-zone":
				return "zone-" + w.config.Settings.Zones[(i+1)%n]
			case "third-zone":
				return "zone-" + w.config.Settings.Zones[(i+2)%n]
			}
		}
	}
	return what
}

// actions are what a line may do, by its first word.
var actions map[string]func(*World, *line)

func init() { // the functions refer to the table
	actions = map[string]func(*World, *line){
		"submit":          (*World).actSubmit,
		"resubmit":        (*World).actResubmit,
		"cancel":          (*World).actCancel,
		"cancel-now":      (*World).actCancelNow,
		"cancel-at-end":   (*World).actCancelAtEnd,
		"odd-requests":    (*World).actOddRequests,
		"verify-reads":    (*World).actVerifyReads,
		"unknown-lookups": (*World).actUnknownLookups,
		"crash":           (*World).actCrash,
		"start":           (*World).actStart,
		"roll":            (*World).actRoll,
		"pause":           (*World).actPause,
		"isolate":         (*World).actIsolate,
		"cut":             (*World).actCut,
		"store":           (*World).actStore,
		"cloud":           (*World).actCloud,
		"agent":           (*World).actAgent,
	}
}

func (w *World) checkAction(l *line) error {
	if actions[l.word(0)] == nil {
		return fmt.Errorf("unknown action %q", l.word(0))
	}
	return nil
}

// durationOf is how long a trouble lasts.
func durationOf(l *line) micros.Time { return l.seconds("for", 10) }

// harmless actions bring no trouble, so nothing has to calm down after them.
var harmless = map[string]bool{"submit": true, "resubmit": true, "cancel": true, "unknown-lookups": true, "verify-reads": true,
	"odd-requests": true}

// act carries out one line.
func (w *World) act(l *line) {
	if !harmless[l.word(0)] {
		end := durationOf(l) + l.seconds("back", 0) + l.seconds("by", 0) + l.seconds("notice", 0)
		if l.word(0) == "roll" {
			end += micros.Time(len(w.nodes)) * l.seconds("every", 10)
		}
		w.faultsOver = max(w.faultsOver, w.now+end)
	}
	actions[l.word(0)](w, l)
}

func (w *World) actResubmit(l *line) {
	if j := w.users.jobs[l.word(1)]; j != nil {
		if len(l.settings) > 0 { // with other words than the first time
			j.body = w.users.newJob(j.ref, l.settings).body
		}
		w.users.submit(j)
	}
}

func (w *World) actCancel(l *line) {
	for i := range int(l.number("jobs", 1)) {
		n, _ := strconv.Atoi(strings.TrimPrefix(l.word(1), "wk-"))
		if j := w.users.jobs[fmt.Sprintf("wk-%06d", n+i)]; j != nil {
			for _, n := range w.nodesFor(l.settings["via"]) {
				w.users.pinConnection(j, n)
			}
			w.users.cancel(j)
		}
	}
}

func (w *World) actCancelNow(l *line) {
	w.users.cancelNow(int(l.number("n", 4)), l.seconds("hang", 0))
}

func (w *World) actCancelAtEnd(l *line) {
	length := durationOf(l)
	w.users.cancelShare, w.users.cancelUntil = l.number("share", 0.5), w.now+length
}

func (w *World) actOddRequests(l *line) {
	length := durationOf(l)
	w.users.sendOddRequests(w.now + length)
}

func (w *World) actVerifyReads(l *line) {
	length := durationOf(l)
	w.users.verifyReadsUntil = w.now + length
}

func (w *World) actUnknownLookups(l *line) {
	for i := range int(l.number("n", 10)) {
		w.after(micros.Time(i)*5*micros.Millisecond, func() { w.users.lookUpUnknown(fmt.Sprintf("wk-9%05d", i)) })
	}
}

func (w *World) actCrash(l *line) {
	for _, n := range w.nodesFor(l.word(1)) {
		n.crash()
		if l.settings["back"] != "" {
			w.after(l.seconds("back", 3), n.start)
		}
	}
}

func (w *World) actStart(l *line) {
	for _, n := range w.nodesFor(l.word(1)) {
		n.start()
	}
}

func (w *World) actRoll(l *line) {
	for i, n := range w.nodes {
		w.after(micros.Time(i)*l.seconds("every", 10), func() {
			n.crash()
			if l.settings["next"] != "" { // with settings that tell of smaller limits to come
				n.config = n.nextConfig
			}
			w.after(l.seconds("back", 3), n.start)
		})
	}
}

func (w *World) actPause(l *line) {
	length := durationOf(l)
	for _, n := range w.nodesFor(l.word(1)) {
		n.paused = true
		life := n.incarnation
		w.after(length, func() {
			if n.incarnation == life && n.paused {
				n.paused = false
				in := n.inbox
				n.inbox = nil
				n.step(in...)
			}
		})
	}
}

func (w *World) actIsolate(l *line) {
	length := durationOf(l)
	for _, n := range w.nodesFor(l.word(1)) {
		hold := l.word(2) == "hold"
		w.startCut(&cut{a: n.name, b: "store", hold: hold}, length)
		for _, o := range w.nodes {
			if o != n {
				w.startCut(&cut{a: n.name, b: o.name, hold: hold}, length)
			}
		}
	}
}

func (w *World) actCut(l *line) {
	length := durationOf(l)
	hold := l.word(len(l.words)-1) == "hold"
	var ends [2][]string
	for i := range 2 {
		what := l.word(i + 1)
		if what == "" || (hold && what == "hold") {
			ends[i] = []string{""}
			continue
		}
		if what = w.resolveZone(what); w.zoned && strings.HasPrefix(what, "zone-") {
			ends[i] = []string{what}
			continue
		}
		for _, n := range w.nodesFor(what) {
			ends[i] = append(ends[i], n.name)
		}
		for _, m := range w.cloud.machinesMatching(what) {
			ends[i] = append(ends[i], m.name)
		}
		if len(ends[i]) == 0 {
			ends[i] = []string{what}
		}
	}
	for _, a := range ends[0] {
		for _, b := range ends[1] {
			if a != b {
				w.startCut(&cut{a: a, b: b, hold: hold}, length)
			}
		}
	}
}

func (w *World) actAgent(l *line) {
	length := durationOf(l)
	for _, m := range w.cloud.machinesMatching(l.word(1)) {
		switch l.word(2) {
		case "die":
			m.vanish()
		case "hang":
			m.hang(length)
		case "faulty":
			m.faulty = true
		case "partition-inbound": // its heartbeats arrive, nothing reaches it
			w.startCut(&cut{a: m.name, inbound: true}, length)
		case "partition-outbound": // it reaches no controller; direct commands reach it
			m.outboundPartitioned = true
			w.after(length, func() { m.outboundPartitioned = false })
		case "ignore-kills": // its tasks do not end when they are stopped
			m.ignoresKills = true
			w.after(length, func() { m.ignoresKills = false })
		case "replay-heartbeats": // they come again when a partition gets a new leader
			m.replayUntil = w.now + length
		case "duplicate-heartbeats":
			m.duplicates, m.duplicateDelay, m.duplicateUntil = int(l.number("n", 1)), l.seconds("by", 8), w.now+length
		case "restart":
			m.restart(l.seconds("back", 0.3))
		case "delay-commands":
			m.commandDelay = l.seconds("by", 8)
			w.after(length, func() { m.commandDelay = 0 })
		case "slow":
			m.speed *= l.number("factor", 3)
		case "preempt":
			notice := l.seconds("notice", 0)
			if notice > 0 {
				m.preemptedAt = w.now + notice
				m.heartbeatSoon()
			}
			w.after(notice, func() {
				m.vanish()
				m.terminated = true
			})
		}
	}
}

// actSubmit submits a number of jobs, one every so often, or in a chain.
func (w *World) actSubmit(l *line) {
	for i := range int(l.number("jobs", 1)) {
		if l.settings["chain"] != "" && i > 0 {
			return // submitted when the one before is accepted
		}
		w.after(micros.Time(i)*l.seconds("every", 0.2), func() { w.submitJob(l, i) })
	}
}

// submitJob submits the i-th job of a line.
func (w *World) submitJob(l *line, i int) {
	n, _ := strconv.Atoi(strings.TrimPrefix(l.word(1), "wk-"))
	ref := fmt.Sprintf("wk-%06d", n+i)
	fields := l.settings
	if classes := int(l.number("classes", 0)); classes > 0 { // so many, in turn
		fields = maps.Clone(l.settings)
		fields["class"] = fmt.Sprintf("%s-%d", l.settings["class"], i%classes)
	}
	j := w.users.newJob(ref, fields)
	w.store.restoreCompletion(j)
	w.users.submit(j)
	if share := l.number("cancelled", 0); share > 0 && w.random.Float64() < share {
		w.after(micros.Second+w.random.Int64N(15*micros.Second), func() {
			if !j.toldDone {
				w.users.cancel(j)
			}
		})
	}
	if l.settings["chain"] != "" && i+1 < int(l.number("jobs", 1)) {
		next := &line{lineNumber: l.lineNumber, words: l.words, settings: maps.Clone(l.settings)}
		next.settings["depends_on"] = ref
		w.whenAccepted(j, func() { w.submitJob(next, i+1) })
	}
}

// whenAccepted waits until a user was told that a job is accepted.
func (w *World) whenAccepted(j *userJob, then func()) {
	if j.accepted != 0 {
		then()
		return
	}
	w.after(5*micros.Millisecond, func() { w.whenAccepted(j, then) })
}

func (w *World) actStore(l *line) {
	length := durationOf(l)
	s := w.store
	share, _ := strconv.ParseFloat(l.word(2), 64)
	switch l.word(1) {
	case "down":
		s.outage(true)
		w.after(length, func() { s.outage(false) })
	case "refuse":
		for _, n := range w.nodesFor(l.word(2)) {
			s.refusedMembers[n.name] = true
			w.after(length, func() { delete(s.refusedMembers, n.name); s.answerWatches() })
		}
	case "load":
		s.load(l.word(2))
	case "write": // as somebody who does not keep to any form
		s.write(l.word(2), l.word(3))
	case "limits": // from now on
		s.maxOperations, s.maxValueBytes, s.writeRPS = int(l.number("ops", 4)), int(l.number("kb", 2)*1024), l.number("write_rps", 18)
	case "delay": // transactions that set this key
		s.delayedKeys[l.word(2)] = l.seconds("by", 60)
		w.after(length, func() { delete(s.delayedKeys, l.word(2)) })
	case "slow":
		s.delay = micros.FromSeconds(share)
		w.after(length, func() { s.delay = 0 })
	case "lose-replies":
		s.lostReplyShare = share
		w.after(length, func() { s.lostReplyShare = 0 })
	case "commit-late":
		s.lateCommitShare = share
		w.after(length, func() { s.lateCommitShare = 0 })
	}
}

func (w *World) actCloud(l *line) {
	length := durationOf(l)
	c := w.cloud
	v, _ := strconv.ParseFloat(l.word(2), 64)
	switch l.word(1) {
	case "down":
		c.down = true
		w.after(length, func() { c.down = false })
	case "create-late":
		c.createDelay = micros.FromSeconds(v)
		w.after(length, func() { c.createDelay = 0 })
	case "reply-late":
		c.createReplyDelay = micros.FromSeconds(v)
		w.after(length, func() { c.createReplyDelay = 0 })
	case "never-boot":
		c.neverBootShare = v
		w.after(length, func() { c.neverBootShare = 0 })
	case "slow-boot":
		c.bootFactor = v
		w.after(length, func() { c.bootFactor = 1 })
	case "full":
		for _, t := range c.instanceTypes {
			if l.word(2) == "" || t.name == l.word(2) {
				old := t.capacity
				t.capacity = map[string]int{}
				w.after(length, func() {
					for k, n := range old {
						t.capacity[k] += n
					}
				})
			}
		}
	}
}
