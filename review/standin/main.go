// Command review-standin runs one case of the review: it starts the project's controllers and stand-ins of
// state service, cloud, workers and users, and checks a rule of the operators' pages.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// runLimit is how long a case may take.
const runLimit = 117 * time.Second

// cases are the cases by name: each starts a deployment, and with trouble also the disruption.
var cases = map[string]func(wd *world, trouble bool){
	"apart": apart,
	"hang":  hang,
	"split": split,
}

func main() {
	root := flag.String("root", ".", "the repository's root")
	name := flag.String("case", "", "the case to run")
	record := flag.String("record", "record.txt", "the file to write the record to")
	flag.Parse()
	body := cases[*name]
	wd, err := newWorld(*root, *record)
	if err != nil || body == nil {
		fmt.Fprintln(os.Stderr, "cannot run:", *name, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the processes are ended also when nobody reads the output any more
	go func() {
		select {
		case <-signals:
			wd.fatal("stopped from outside")
		case <-time.After(runLimit):
			wd.fatal("it took longer than %v", runLimit)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	wd.note("case %s, disruption %v", *name, trouble)
	body(wd, trouble)
	wd.finish()
}

// finish ends the processes, writes the outcome and exits.
func (wd *world) finish() {
	for _, n := range wd.nodes {
		if !n.alive() {
			if len(wd.logged("address already in use")) > 0 {
				wd.fatal("a port was taken by another program")
			}
			wd.mu.Lock()
			wd.broken("%s ended by itself", n.name)
			wd.mu.Unlock()
		}
	}
	wd.mu.Lock()
	wd.noteLocked("refused by the state service: %v; reports without 200 or 421: %v", wd.state.refused, wd.bad)
	n := len(wd.breaks)
	wd.noteLocked("result: the rule was broken %d times", n)
	wd.mu.Unlock()
	wd.close()
	if n > 0 {
		fmt.Printf("the rule was broken %d times, first: %s\n", n, wd.breaks[0])
		os.Exit(1)
	}
	fmt.Println("the rule held")
	os.Exit(0)
}
