package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// load writes both files and loads them as a controller does on startup.
func load(t *testing.T, platform, operator string) (platformPath, operatorPath string, err error) {
	t.Helper()
	platformPath = filepath.Join(t.TempDir(), "settings.toml")
	operatorPath = filepath.Join(t.TempDir(), "operator.textproto")
	for path, text := range map[string]string{platformPath: platform, operatorPath: operator} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	_, err = Load(platformPath, operatorPath)
	return platformPath, operatorPath, err
}

// TestSyntaxErrorsNameTheFileOnOneLine checks that a file that cannot be parsed gives one line with its
// name and, for the platform's file, the line number.
func TestSyntaxErrorsNameTheFileOnOneLine(t *testing.T) {
	for _, test := range []struct {
		name, platform, operator, prefix string
	}{
		{"platform's file cut off", "member = \"n\"\nlisten = \"", "", "PLATFORM: line 2: toml: "},
		{"platform's file with a value missing", strings.Replace(good, "nodes = 2", "nodes =", 1), "",
			"PLATFORM: line 15: toml: "},
		{"operators' file with an unknown field", good, "no_such_field: 1", "operator settings: OPERATOR: "},
		{"operators' file cut off", good, "queues:", "operator settings: OPERATOR: "},
	} {
		t.Run(test.name, func(t *testing.T) {
			platform, operator, err := load(t, test.platform, test.operator)
			prefix := strings.NewReplacer("PLATFORM", platform, "OPERATOR", operator).Replace(test.prefix)
			if err == nil || !strings.HasPrefix(err.Error(), prefix) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %q, want one line that begins with %q", err, prefix)
			}
			if _, ok := errors.AsType[*SyntaxError](err); !ok {
				t.Errorf("got %T, want a SyntaxError", err)
			}
		})
	}
}

// TestRefusedSettingsKeepTheirLine checks that the errors for invalid settings keep their text, without
// the name of the file: operators' scripts match these lines.
func TestRefusedSettingsKeepTheirLine(t *testing.T) {
	for _, test := range []struct{ name, from, to, want string }{
		{"value out of range", "nodes = 2", "nodes = 0", "settings.nodes: must be at least 1, is 0"},
		{"value of the wrong type", "nodes = 2", `nodes = "two"`,
			"settings.nodes: line 15: toml: cannot decode TOML string into struct field config.Settings.Nodes of type int"},
		{"operations of a transaction", "txn_ops = 12", "txn_ops = 3", "settings.state.txn_ops: must be at least 4, is 3"},
		{"too few sockets", "max_connections = 1000", "max_connections = 15",
			"settings.machine_limits.max_connections: must be at least 16 for the controllers themselves, is 15"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := load(t, strings.Replace(good, test.from, test.to, 1), "")
			if err == nil || err.Error() != test.want {
				t.Errorf("got %q, want %q", err, test.want)
			}
		})
	}
	_, _, err := load(t, strings.Replace(good, "nodes = 2", "nodes = 0", 1), "")
	if fault, ok := errors.AsType[*FieldError](err); !ok || fault.Field != "settings.nodes" {
		t.Errorf("got %#v, want an error of field settings.nodes", err)
	}
}
