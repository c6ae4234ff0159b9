package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func TestExitStatusOfBadSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte("member = \"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	broken := filepath.Join(t.TempDir(), "broken.toml")
	if err := os.WriteFile(broken, []byte("member = \"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{
		{"check", "--config", file},
		{"--config", file},
		{"check", "--config", file + ".missing"},
		{"check", "--config", broken},
		{"check", "--config", broken, "--operator", file},
	} {
		var commands cli
		parser, err := newParser(&commands)
		if err != nil {
			t.Fatal(err)
		}
		ctx, err := parser.Parse(args)
		if err != nil {
			t.Fatal(err)
		}
		if got := exitCodeOf(ctx.Run()); got != 2 {
			t.Errorf("%v: status %d, want 2", args, got)
		}
	}
}

func TestExitCodeOf(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want exitCode
	}{
		{"success", nil, 0},
		{"failure", errors.New("listen: address in use"), 1},
		{"bad settings", &settingsError{errors.New("member: missing")}, 2},
		{"bad settings, wrapped by the parser", fmt.Errorf("run: %w", &settingsError{errors.New("x")}), 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := exitCodeOf(test.err); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
