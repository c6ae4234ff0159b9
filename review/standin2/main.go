package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// options are the command line of a case.
type options struct {
	command []string // of the current version, without the settings file
	trouble bool
}

// scenario plays a case, and returns the name of the rule that it looks at.
type scenario struct {
	rule  string
	shape shape
	types func() []*machineType
	play  func(*world, options) error
}

var scenarios = map[string]scenario{
	"4": {rule: "nothing_ran", shape: midlands, types: burstTypes, play: playBurst},
	"5": {rule: "idle_room", shape: midlands, types: hugeTypes, play: playHuge},
	"6": {rule: "idle_room", shape: midlands, types: mistakeTypes, play: playMistake},
}

func main() {
	name := flag.String("case", "", "number of the case")
	folder := flag.String("folder", ".", "folder of the case, for record.txt")
	command := flag.String("run", "", "command of the deploy file, without the settings file")
	logs := flag.String("logs", "", "folder for the controllers' logs; none: not kept")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok || *command == "" {
		flag.Usage()
		os.Exit(exitNotRun)
	}
	o := options{command: strings.Fields(*command), trouble: os.Getenv("TROUBLE") != "0"}
	os.Exit(run(s, o, *folder, *logs))
}

// run plays a case and returns its exit code.
func run(s scenario, o options, folder, logs string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	code := exitNotRun
	w, err := newWorld(rec, s.shape, s.types(), o.trouble)
	if err == nil {
		go w.endInTime()
		err = s.play(w, o)
		w.close(logs)
	}
	switch {
	case err == nil && w.judge.brokenRules(s.rule) > 0:
		rec.say("broken: %s, %d times", s.rule, w.judge.brokenRules(s.rule))
		code = exitBroken
	case err == nil:
		rec.say("held: %s", s.rule)
		code = exitHeld
	case errors.Is(err, errNotRun):
		rec.say("%v", err)
	default:
		rec.say("failed: %v", err)
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
