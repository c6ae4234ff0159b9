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

// cli is the command line.
type cli struct {
	Serve   serveCmd         `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd         `cmd:"" help:"Check the settings without serving."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// settingsFlags are the flags that name the settings' settingsFlags.
type settingsFlags struct {
	Config   string `help:"The platform's settings file (TOML)." placeholder:"FILE" required:"" type:"path"`
	Operator string `help:"${operator_help}" placeholder:"FILE" env:"PIPITLATCH_OPERATOR" type:"path"`
}

// operatorHelp stands apart from its flag for the length of the line.
const operatorHelp = "Operators' own settings (protobuf text format)."

type serveCmd struct{ settingsFlags }

type checkCmd struct{ settingsFlags }

// newParser builds the command line's parser.
func newParser(commands *cli) (*kong.Kong, error) {
	return kong.New(commands,
		kong.Name("pipitlatch"),
		kong.Description("A controller of the pipitlatch cluster scheduler."),
		kong.Vars{"version": version, "operator_help": operatorHelp},
		kong.UsageOnError())
}

// load reads the settings; whatever is wrong with them is a settingsError.
func (f *settingsFlags) load() (*config.Config, error) {
	cfg, err := config.Load(f.Config, f.Operator)
	if err != nil {
		return nil, &settingsError{err}
	}
	return cfg, nil
}

// Run checks the settings and prints what is wrong with them.
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

// Run serves until the process is told to end.
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

// gcPercent: below the limit of memory, memory is cheaper than the processor time of collections.
const gcPercent = 400

// limitRuntime keeps the process within its share of the machine.
func limitRuntime(cfg *config.Config) {
	limits := cfg.Settings.MachineLimits
	debug.SetMemoryLimit(int64(limits.MemoryMB * 1e6 * float64(cfg.Operator.MemoryPercent) / 100))
	debug.SetGCPercent(gcPercent)
	if limits.CPU > 0 {
		// On a share of a core, more threads only add switches.
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
