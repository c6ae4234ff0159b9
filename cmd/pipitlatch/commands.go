package main

import (
	"context"
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

// cli defines the commands and flags.
type cli struct {
	Serve   serveCmd         `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd         `cmd:"" help:"Check the settings without serving."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// settingsFlags are the flags for the paths of the settings files.
type settingsFlags struct {
	Config   string `help:"The platform's settings file (TOML)." placeholder:"FILE" required:"" type:"path"`
	Operator string `help:"${operator_help}" placeholder:"FILE" env:"PIPITLATCH_OPERATOR" type:"path"`
}

// operatorHelp is a variable of the parser because the tag would exceed the line limit.
const operatorHelp = "Operators' own settings (protobuf text format)."

type serveCmd struct{ settingsFlags }

type checkCmd struct{ settingsFlags }

// newParser returns the parser of the command line.
func newParser(commands *cli) (*kong.Kong, error) {
	return kong.New(commands,
		kong.Name("pipitlatch"),
		kong.Description("A controller of the pipitlatch cluster scheduler."),
		kong.Vars{"version": version, "operator_help": operatorHelp},
		kong.UsageOnError())
}

// load reads and validates the settings. Its errors are of type settingsError.
func (f *settingsFlags) load() (*config.Config, error) {
	cfg, err := config.Load(f.Config, f.Operator)
	if err != nil {
		return nil, &settingsError{err}
	}
	return cfg, nil
}

// Run validates the settings and prints warnings.
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

// Run runs a controller until SIGINT or SIGTERM.
func (c *serveCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))})
	log := slog.New(handler)
	for _, w := range cfg.Warnings() {
		log.Warn("settings", "warning", w)
	}
	limitRuntime(cfg)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return transport.Run(ctx, cfg, log)
}

// gcPercent is above Go's default of 100: below the memory limit, memory is cheaper than CPU time spent on
// garbage collection.
const gcPercent = 400

// limitRuntime sets the runtime's memory limit, garbage collection target and GOMAXPROCS from the settings.
func limitRuntime(cfg *config.Config) {
	limits := cfg.Settings.MachineLimits
	debug.SetMemoryLimit(int64(limits.MemoryMB * 1e6 * float64(cfg.Operator.MemoryPercent) / 100))
	debug.SetGCPercent(gcPercent)
	if limits.CPU > 0 {
		// With a fractional CPU limit, more threads only add context switches.
		runtime.GOMAXPROCS(max(1, min(runtime.NumCPU(), int(limits.CPU+0.999))))
	}
}

func logLevel(name string) slog.Level {
	switch strings.ToLower(name) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}
