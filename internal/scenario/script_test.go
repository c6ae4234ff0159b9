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
	no    int
	words []string
	set   map[string]string
}

func (l *line) word(i int) string {
	if i < len(l.words) {
		return l.words[i]
	}
	return ""
}

func (l *line) num(key string, d float64) float64 {
	if v, err := strconv.ParseFloat(l.set[key], 64); err == nil {
		return v
	}
	return d
}

func (l *line) secs(key string, d float64) micros.Time { return micros.FromSeconds(l.num(key, d)) }

func parseLine(no int, text string) *line {
	l := &line{no: no, set: map[string]string{}}
	text, _, _ = strings.Cut(text, "#")
	for _, f := range strings.Fields(text) {
		if k, v, ok := strings.Cut(f, "="); ok && k != "" {
			l.set[k] = v
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
	first, seeds := uint64(lines[0].num("seed", 1)), int(lines[0].num("seeds", 1))
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
			r.Failed = append(r.Failed, fmt.Sprintf("line %d: expected %s: %s", l.no, strings.Join(l.words[1:], " "), strings.Join(missed[l], "; ")))
		}
	}
	return r, nil
}

// amounts are expectations of how much or how long, which is a matter of luck.
var amounts = map[string]bool{"done-within": true, "lost": true, "starts": true, "up": true, "machines": true, "rented": true,
	"taken": true, "behind": true}

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
			for i := range int(l.num("n", 1)) { // alike but for their names
				t := *l
				if t.words = []string{"type", l.word(1)}; i > 0 {
					t.words[1] = fmt.Sprintf("%s-%02d", l.word(1), i)
				}
				w.addType(&t)
			}
		case "machine":
			for _, t := range w.cloud.types {
				for range int(l.num("n", 1)) {
					if t.name == l.word(1) {
						w.cloud.add(t, l.set["zone"], l.word(2) == "spot", true)
					}
				}
			}
		case "at":
			at, err := strconv.ParseFloat(l.word(1), 64)
			if err != nil {
				return nil, nil, fmt.Errorf("line %d: when?", l.no)
			}
			rest := &line{no: l.no, words: l.words[2:], set: l.set}
			if err := w.known(rest); err != nil {
				return nil, nil, fmt.Errorf("line %d: %w", l.no, err)
			}
			w.after(micros.FromSeconds(at), func() { w.act(rest) })
		case "until":
			s, err := strconv.ParseFloat(l.word(1), 64)
			if err != nil {
				return nil, nil, fmt.Errorf("line %d: until when?", l.no)
			}
			until = micros.FromSeconds(s)
		case "expect":
			expects = append(expects, l)
		default:
			return nil, nil, fmt.Errorf("line %d: unknown: %s", l.no, l.word(0))
		}
	}
	for _, n := range w.nodes {
		n.start()
	}
	w.run(until)
	return w, expects, w.digest.finish(w.state)
}

func newWorld(l *line, seed uint64, logf func(string, ...any)) (*World, error) {
	w := &World{rng: rand.New(rand.NewPCG(seed, 7)), logf: logf}
	nodes := int(l.num("nodes", 3))
	zones, nodeZones := []string{"a", "b"}, []string{"a"}
	if l.set["zones"] != "" {
		zones = strings.Split(l.set["zones"], ",")
		nodeZones, w.zoned = zones, true
	}
	w.distance = micros.FromSeconds(l.num("distance_ms", 0) / 1000)
	settings := platformSettings(l, nodes, zones)
	for i := range nodes {
		operator := fmt.Sprintf("queues: %d ", int(l.num("queues", 1))) + fairSettings(l, i)
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
		if l.set["next"] != "" {
			conf = next
		}
		w.conf = conf
		w.nodes = append(w.nodes, &node{w: w, name: conf.Member, conf: conf, next: next, drift: 1 + (w.rng.Float64()-0.5)*0.001,
			skew: micros.Time((w.rng.Float64() - 0.5) * 10_000)})
	}
	w.state = newState(w)
	w.state.keep = int(l.num("keep", 10_000))
	w.cloud = newCloud(w)
	w.users = newUsers(w)
	return w, nil
}

// platformSettings is the part of the platform's settings file that all nodes share.
func platformSettings(l *line, nodes int, zones []string) string {
	var toml strings.Builder
	fmt.Fprintf(&toml, "listen = \"10.0.0.1:8080\"\ninternal_addr = \"10.0.0.1:8081\"\n[services]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n")
	fmt.Fprintf(&toml, "[settings]\nnodes = %d\nzones = [\"%s\"]\nskew_ms = 5.0\n", nodes, strings.Join(zones, "\", \""))
	teams := l.set["teams"]
	if teams == "" {
		teams = "alpha"
	}
	for _, t := range strings.Split(teams, ",") {
		p := append(strings.Split(t, ":"), "0", "0")
		fmt.Fprintf(&toml, "[[settings.teams]]\nname = %q\ncpus = %s.0\ncpus_max = %s.0\n", p[0], p[1], p[2])
	}
	for _, kind := range []string{"wait", "finished"} { // objectives: class:seconds
		if class, within, ok := strings.Cut(l.set[kind], ":"); ok {
			fmt.Fprintf(&toml, "[[settings.objectives]]\nkind = %q\nclass = %q\nwithin_s = %s.0\nshare = 0.99\n", kind, class, within)
		}
	}
	if v := l.num("guarantee", 0); v > 0 {
		fmt.Fprintf(&toml, "[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = %v\nshare = 0.99\n", v)
	}
	fmt.Fprintf(&toml, "[settings.workers]\nreport_s = %v\nlease_s = %v\ncancel_s = %v\n", l.num("report", 1.5), l.num("lease", 10), l.num("cancel", 35))
	fmt.Fprintf(&toml, "[settings.state]\nrps = %v\nwrite_rps = %v\nvalue_kb = 8.0\ntxn_ops = 12\n", l.num("rps", 100), l.num("write_rps", 25))
	fmt.Fprintf(&toml, "[settings.cloud]\nrps = %v\nlist_lag_s = 3.0\n[settings.machine_limits]\ncpu = 0.24\nmemory_mb = %v\nmax_connections = %d\n", l.num("cloud_rps", 6), l.num("memory", 125), int(l.num("connections", 1000)))
	return toml.String()
}

// nextLimits are smaller limits of the state service that are to come.
const nextLimits = "[settings.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4\n"

func (w *World) addType(l *line) {
	t := &machineType{name: l.word(1), cores: l.num("cores", 8), ram: l.num("ram", 32), price: l.num("price", 0.4), spot: l.num("spot_price", 0.15),
		cache: l.num("cache", 80), fetch: l.num("fetch", 0.5), boot: l.secs("boot", 20), room: map[string]int{}}
	zones := l.set["zones"]
	if zones == "" {
		zones = "a"
	}
	t.zones = strings.Split(zones, ",")
	for _, z := range t.zones {
		t.room[z+"/ordinary"] = int(l.num("room", 5))
		t.room[z+"/spot"] = int(l.num("spot_room", 3))
	}
	w.cloud.types = append(w.cloud.types, t)
}

// nodesFor finds nodes by name, or "holder", "others", "other" (one of them), "nodes", or
// "all", which in a cut means machines too.
func (w *World) nodesFor(what string) []*node {
	switch what {
	case "all", "nodes":
		return w.nodes
	case "holder":
		return []*node{w.holder()}
	case "other":
		if list := w.nodesFor("others"); len(list) > 0 {
			return list[:1]
		}
		return nil
	case "others":
		h := w.holder()
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

// zoneWord names the zone of the holder, the next one or the one after that.
func (w *World) zoneWord(what string) string {
	for i, z := range w.conf.Settings.Zones {
		if z == w.holder().conf.Zone {
			switch n := len(w.conf.Settings.Zones); what {
			case "holder-zone":
				return "zone-" + z
			case "next-zone":
				return "zone-" + w.conf.Settings.Zones[(i+1)%n]
			case "third-zone":
				return "zone-" + w.conf.Settings.Zones[(i+2)%n]
			}
		}
	}
	return what
}

// actions are what a line may do, by its first word.
var actions map[string]func(*World, *line)

func init() { // the functions refer to the table
	actions = map[string]func(*World, *line){
		"submit":        (*World).actSubmit,
		"resubmit":      (*World).actResubmit,
		"cancel":        (*World).actCancel,
		"cancel-now":    (*World).actCancelNow,
		"cancel-at-end": (*World).actCancelAtEnd,
		"odd":           (*World).actOdd,
		"looks":         (*World).actLooks,
		"strangers":     (*World).actStrangers,
		"crash":         (*World).actCrash,
		"start":         (*World).actStart,
		"roll":          (*World).actRoll,
		"pause":         (*World).actPause,
		"alone":         (*World).actAlone,
		"cut":           (*World).actCut,
		"state":         (*World).actState,
		"cloud":         (*World).actCloud,
		"worker":        (*World).actWorker,
	}
}

func (w *World) known(l *line) error {
	if actions[l.word(0)] == nil {
		return fmt.Errorf("unknown action %q", l.word(0))
	}
	return nil
}

// lengthOf is how long a trouble lasts.
func lengthOf(l *line) micros.Time { return l.secs("for", 10) }

// harmless actions bring no trouble, so nothing has to calm down after them.
var harmless = map[string]bool{"submit": true, "resubmit": true, "cancel": true, "strangers": true, "looks": true, "odd": true}

// act carries out one line.
func (w *World) act(l *line) {
	if !harmless[l.word(0)] {
		end := lengthOf(l) + l.secs("back", 0) + l.secs("by", 0) + l.secs("notice", 0)
		if l.word(0) == "roll" {
			end += micros.Time(len(w.nodes)) * l.secs("every", 10)
		}
		w.calm = max(w.calm, w.now+end)
	}
	actions[l.word(0)](w, l)
}

func (w *World) actResubmit(l *line) {
	if j := w.users.jobs[l.word(1)]; j != nil {
		if len(l.set) > 0 { // with other words than the first time
			j.body = w.users.parse(j.ref, l.set).body
		}
		w.users.submit(j)
	}
}

func (w *World) actCancel(l *line) {
	for i := range int(l.num("jobs", 1)) {
		n, _ := strconv.Atoi(strings.TrimPrefix(l.word(1), "wk-"))
		if j := w.users.jobs[fmt.Sprintf("wk-%06d", n+i)]; j != nil {
			for _, n := range w.nodesFor(l.set["via"]) {
				w.users.connectTo(j, n)
			}
			w.users.cancel(j)
		}
	}
}

func (w *World) actCancelNow(l *line) {
	w.users.cancelNow(int(l.num("n", 4)), l.secs("hang", 0))
}

func (w *World) actCancelAtEnd(l *line) {
	length := lengthOf(l)
	w.users.cancelShare, w.users.cancelUntil = l.num("share", 0.5), w.now+length
}

func (w *World) actOdd(l *line) {
	length := lengthOf(l)
	w.users.odd(w.now + length)
}

func (w *World) actLooks(l *line) {
	length := lengthOf(l)
	w.users.looksUntil = w.now + length
}

func (w *World) actStrangers(l *line) {
	for i := range int(l.num("n", 10)) {
		w.after(micros.Time(i)*5*micros.Millisecond, func() { w.users.stranger(fmt.Sprintf("wk-9%05d", i)) })
	}
}

func (w *World) actCrash(l *line) {
	for _, n := range w.nodesFor(l.word(1)) {
		n.crash()
		if l.set["back"] != "" {
			w.after(l.secs("back", 3), n.start)
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
		w.after(micros.Time(i)*l.secs("every", 10), func() {
			n.crash()
			if l.set["next"] != "" { // with settings that tell of smaller limits to come
				n.conf = n.next
			}
			w.after(l.secs("back", 3), n.start)
		})
	}
}

func (w *World) actPause(l *line) {
	length := lengthOf(l)
	for _, n := range w.nodesFor(l.word(1)) {
		n.paused = true
		life := n.life
		w.after(length, func() {
			if n.life == life && n.paused {
				n.paused = false
				in := n.inbox
				n.inbox = nil
				n.step(in...)
			}
		})
	}
}

func (w *World) actAlone(l *line) {
	length := lengthOf(l)
	for _, n := range w.nodesFor(l.word(1)) {
		hold := l.word(2) == "hold"
		w.startCut(&cut{a: n.name, b: "state", hold: hold}, length)
		for _, o := range w.nodes {
			if o != n {
				w.startCut(&cut{a: n.name, b: o.name, hold: hold}, length)
			}
		}
	}
}

func (w *World) actCut(l *line) {
	length := lengthOf(l)
	hold := l.word(len(l.words)-1) == "hold"
	var ends [2][]string
	for i := range 2 {
		what := l.word(i + 1)
		if what == "" || (hold && what == "hold") {
			ends[i] = []string{""}
			continue
		}
		if what = w.zoneWord(what); w.zoned && strings.HasPrefix(what, "zone-") {
			ends[i] = []string{what}
			continue
		}
		for _, n := range w.nodesFor(what) {
			ends[i] = append(ends[i], n.name)
		}
		for _, m := range w.cloud.pick(what) {
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

func (w *World) actWorker(l *line) {
	length := lengthOf(l)
	for _, m := range w.cloud.pick(l.word(1)) {
		switch l.word(2) {
		case "die":
			m.vanish()
		case "hang":
			m.hang(length)
		case "sick":
			m.sick = true
		case "oneway": // its reports arrive, nothing reaches it
			w.startCut(&cut{a: m.name, into: true}, length)
		case "mute": // it reaches no controller; direct commands reach it
			m.mute = true
			w.after(length, func() { m.mute = false })
		case "stubborn": // its tasks do not end when they are stopped
			m.stubborn = true
			w.after(length, func() { m.stubborn = false })
		case "kept": // its reports come again when a queue gets a new holder
			m.keptUntil = w.now + length
		case "copies":
			m.copies, m.copyBy, m.copyUntil = int(l.num("n", 1)), l.secs("by", 8), w.now+length
		case "restart":
			m.restart(l.secs("back", 0.3))
		case "late":
			m.late = l.secs("by", 8)
			w.after(length, func() { m.late = 0 })
		case "slow":
			m.speed *= l.num("factor", 3)
		case "take":
			notice := l.secs("notice", 0)
			if notice > 0 {
				m.recall = w.now + notice
				m.changed()
			}
			w.after(notice, func() {
				m.vanish()
				m.deleted = true
			})
		}
	}
}

// actSubmit submits a number of jobs, one every so often, or in a chain.
func (w *World) actSubmit(l *line) {
	for i := range int(l.num("jobs", 1)) {
		if l.set["chain"] != "" && i > 0 {
			return // submitted when the one before is accepted
		}
		w.after(micros.Time(i)*l.secs("every", 0.2), func() { w.submitJob(l, i) })
	}
}

// submitJob submits the i-th job of a line.
func (w *World) submitJob(l *line, i int) {
	n, _ := strconv.Atoi(strings.TrimPrefix(l.word(1), "wk-"))
	ref := fmt.Sprintf("wk-%06d", n+i)
	fields := l.set
	if classes := int(l.num("classes", 0)); classes > 0 { // so many, in turn
		fields = maps.Clone(l.set)
		fields["class"] = fmt.Sprintf("%s-%d", l.set["class"], i%classes)
	}
	j := w.users.parse(ref, fields)
	w.state.recall(j)
	w.users.submit(j)
	if share := l.num("cancelled", 0); share > 0 && w.rng.Float64() < share {
		w.after(micros.Second+w.rng.Int64N(15*micros.Second), func() {
			if !j.toldDone {
				w.users.cancel(j)
			}
		})
	}
	if l.set["chain"] != "" && i+1 < int(l.num("jobs", 1)) {
		next := &line{no: l.no, words: l.words, set: maps.Clone(l.set)}
		next.set["waits"] = ref
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

func (w *World) actState(l *line) {
	length := lengthOf(l)
	s := w.state
	share, _ := strconv.ParseFloat(l.word(2), 64)
	switch l.word(1) {
	case "down":
		s.outage(true)
		w.after(length, func() { s.outage(false) })
	case "down-for":
		for _, n := range w.nodesFor(l.word(2)) {
			s.downFor[n.name] = true
			w.after(length, func() { delete(s.downFor, n.name); s.wake() })
		}
	case "load":
		s.load(l.word(2))
	case "write": // as somebody who does not keep to any form
		s.write(l.word(2), l.word(3))
	case "limits": // from now on
		s.txnOps, s.valueMax, s.writeRPS = int(l.num("ops", 4)), int(l.num("kb", 2)*1024), l.num("write_rps", 18)
	case "delay": // transactions that set this key
		s.delayed[l.word(2)] = l.secs("by", 60)
		w.after(length, func() { delete(s.delayed, l.word(2)) })
	case "slow":
		s.slow = micros.FromSeconds(share)
		w.after(length, func() { s.slow = 0 })
	case "lose":
		s.loseShare = share
		w.after(length, func() { s.loseShare = 0 })
	case "late":
		s.lateShare = share
		w.after(length, func() { s.lateShare = 0 })
	}
}

func (w *World) actCloud(l *line) {
	length := lengthOf(l)
	c := w.cloud
	v, _ := strconv.ParseFloat(l.word(2), 64)
	switch l.word(1) {
	case "down":
		c.down = true
		w.after(length, func() { c.down = false })
	case "late":
		c.late = micros.FromSeconds(v)
		w.after(length, func() { c.late = 0 })
	case "slowly":
		c.slowly = micros.FromSeconds(v)
		w.after(length, func() { c.slowly = 0 })
	case "neverup":
		c.neverUp = v
		w.after(length, func() { c.neverUp = 0 })
	case "slowboot":
		c.slowBoot = v
		w.after(length, func() { c.slowBoot = 1 })
	case "full":
		for _, t := range c.types {
			if l.word(2) == "" || t.name == l.word(2) {
				old := t.room
				t.room = map[string]int{}
				w.after(length, func() {
					for k, n := range old {
						t.room[k] += n
					}
				})
			}
		}
	}
}
