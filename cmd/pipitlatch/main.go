// Command pipitlatch is a controller of the pipitlatch cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"pipitlatch/internal/config"
	"pipitlatch/internal/transport"
)

// version is set by release builds with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

type files struct {
	Config   string `help:"The platform's settings file (TOML)." placeholder:"FILE" required:"" type:"path"`
	Operator string `help:"Operators' own settings (protobuf text format)." placeholder:"FILE" env:"PIPITLATCH_OPERATOR" type:"path"`
}

type cli struct {
	Serve   serveCmd         `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd         `cmd:"" help:"Check the settings without serving."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

type serveCmd struct{ files }

type checkCmd struct{ files }

// badSettings ends the program with exit status 2, one line an error.
type badSettings struct{ error }

func (f *files) load() (*config.Config, error) {
	cfg, err := config.Load(f.Config, f.Operator)
	if err != nil {
		return nil, badSettings{err}
	}
	return cfg, nil
}

func (c *checkCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	for _, w := range cfg.Warnings() {
		fmt.Println("warning:", w)
	}
	fmt.Println("settings are valid")
	return nil
}

func (c *serveCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))}))
	for _, w := range cfg.Warnings() {
		log.Warn("settings", "warning", w)
	}
	limits := cfg.Settings.MachineLimits
	debug.SetMemoryLimit(int64(limits.MemoryMB * 1e6 * float64(cfg.Operator.MemoryPercent) / 100))
	// Below that limit memory is cheaper than the processor time of collections.
	debug.SetGCPercent(400)
	if limits.CPU > 0 {
		// On a share of a core, more threads only add switches.
		runtime.GOMAXPROCS(max(1, min(runtime.NumCPU(), int(limits.CPU+0.999))))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return transport.Run(ctx, cfg, log)
}

func logLevel(s string) slog.Level {
	switch strings.ToLower(s) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

// newParser builds the command line's parser.
func newParser(c *cli) (*kong.Kong, error) {
	return kong.New(c, kong.Name("pipitlatch"), kong.Description("A controller of the pipitlatch cluster scheduler."),
		kong.Vars{"version": version}, kong.UsageOnError())
}

// status is the exit status for what a command returned.
func status(err error) int {
	var bad badSettings
	switch {
	case err == nil:
		return 0
	case errors.As(err, &bad): // the parser wraps what commands return
		return 2
	default:
		return 1
	}
}

func main() {
	var c cli
	parser, err := newParser(&c)
	if err != nil {
		panic(err) // a mistake in the struct tags above
	}
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(status(err))
	}
}
