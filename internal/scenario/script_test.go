package scenario

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"

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

// argument is the number after a fault's name; 0 if there is none.
func (l *line) argument() float64 {
	v, err := strconv.ParseFloat(l.word(2), 64)
	if err != nil {
		return 0
	}
	return v
}

func (l *line) number(key string, otherwise float64) float64 {
	if v, err := strconv.ParseFloat(l.settings[key], 64); err == nil {
		return v
	}
	return otherwise
}

func (l *line) count(key string, otherwise int) int { return int(l.number(key, float64(otherwise))) }

func (l *line) seconds(key string, otherwise float64) micros.Time {
	return micros.FromSeconds(l.number(key, otherwise))
}

// duration is how long a fault lasts.
func (l *line) duration() micros.Time { return l.seconds("for", 10) }

// errorf names the line in an error.
func (l *line) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %w", l.lineNumber, fmt.Errorf(format, args...))
}

func parseLine(number int, text string) *line {
	l := &line{lineNumber: number, settings: map[string]string{}}
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
	lines := strings.Split(text, "\n")
	names := caseNames(lines)
	if len(names) == 0 {
		return map[string]string{"": text}
	}
	out := map[string]string{}
	for _, name := range names {
		var b strings.Builder
		for _, l := range lines {
			b.WriteString(lineOfCase(l, name) + "\n")
		}
		out[name] = b.String()
	}
	return out
}

// caseNames are the cases of a file, each once.
func caseNames(lines []string) []string {
	var names []string
	seen := map[string]bool{}
	for _, l := range lines {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "case" && !seen[f[1]] {
			seen[f[1]] = true
			names = append(names, f[1])
		}
	}
	return names
}

// lineOfCase is what a line says in a case; empty if it belongs to another. Lines keep their
// numbers.
func lineOfCase(text, name string) string {
	f := strings.Fields(text)
	if len(f) < 2 || f[0] != "case" {
		return text
	}
	if f[1] != name {
		return ""
	}
	return strings.Join(f[2:], " ")
}

// parseLines reads a scenario's lines, the first of which is its cluster line.
func parseLines(text string) ([]*line, error) {
	var lines []*line
	sc := bufio.NewScanner(strings.NewReader(text))
	for number := 1; sc.Scan(); number++ {
		if l := parseLine(number, sc.Text()); len(l.words) > 0 {
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

// effect is what a line does to a deployment.
type effect func(*World)

// script is a scenario that was read: it can be played any number of times.
type script struct {
	cluster *line
	// setup is carried out before the controllers start, in the order of the lines: what is
	// drawn for a machine depends on it.
	setup        []effect
	expectations []*line
	until        micros.Time
}

// parseScript reads a scenario.
func parseScript(text string) (*script, error) {
	lines, err := parseLines(text)
	if err != nil {
		return nil, err
	}
	s := &script{cluster: lines[0]}
	for _, l := range lines[1:] {
		if err := s.parse(l); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// parse reads one line after the cluster line.
func (s *script) parse(l *line) error {
	switch l.word(0) {
	case "type":
		s.setup = append(s.setup, typeEffect(l))
	case "machine":
		s.setup = append(s.setup, machineEffect(l))
	case "at":
		at, err := strconv.ParseFloat(l.word(1), 64)
		if err != nil {
			return l.errorf("when?")
		}
		run, err := parseAction(&line{lineNumber: l.lineNumber, words: l.words[2:], settings: l.settings})
		if err != nil {
			return l.errorf("%w", err)
		}
		s.setup = append(s.setup, func(w *World) {
			w.after(micros.FromSeconds(at), func() { run(w) })
		})
	case "until":
		until, err := strconv.ParseFloat(l.word(1), 64)
		if err != nil {
			return l.errorf("until when?")
		}
		s.until = micros.FromSeconds(until)
	case "expect":
		if !knownExpectation(l) {
			return l.errorf("unknown expectation %q", l.word(1))
		}
		s.expectations = append(s.expectations, l)
	default:
		return l.errorf("unknown: %s", l.word(0))
	}
	return nil
}

// typeEffect adds instance types that are alike but for their names.
func typeEffect(l *line) effect {
	return func(w *World) {
		for i := range l.count("n", 1) {
			t := *l
			if t.words = []string{"type", l.word(1)}; i > 0 {
				t.words[1] = fmt.Sprintf("%s-%02d", l.word(1), i)
			}
			w.addType(&t)
		}
	}
}

// machineEffect adds machines that run from the beginning.
func machineEffect(l *line) effect {
	return func(w *World) {
		for _, t := range w.cloud.instanceTypes {
			for range l.count("n", 1) {
				if t.name == l.word(1) {
					w.cloud.addMachine(t, l.settings["zone"], l.word(2) == "spot", true)
				}
			}
		}
	}
}
