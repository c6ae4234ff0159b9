package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestExitStatusOfBadSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte("member = \"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check", "--config", file}, {"--config", file}, {"check", "--config", file + ".missing"}} {
		var c cli
		parser, err := newParser(&c)
		if err != nil {
			t.Fatal(err)
		}
		ctx, err := parser.Parse(args)
		if err != nil {
			t.Fatal(err)
		}
		if got := status(ctx.Run()); got != 2 {
			t.Errorf("%v: status %d, want 2", args, got)
		}
	}
}
