// Command pipitlatch is a controller of the pipitlatch cluster scheduler.
package main

import (
	"fmt"
	"os"
)

// version is set by release builds with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

func main() {
	var commands cli
	parser, err := newParser(&commands)
	if err != nil {
		panic(err) // only if the struct tags of cli are invalid
	}
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(exitCodeOf(err)))
	}
}
