// Package docs tests that files and links named in the documentation exist.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the path of the repository's root relative to this package.
const root = "../.."

var (
	fencedBlock = regexp.MustCompile("(?ms)^```.*?^```")
	link        = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	codeSpan    = regexp.MustCompile("`([^`\n]+)`")
	// repositoryPath matches paths of files and folders of the repository: a path that starts with one of its
	// top-level folders or testdata, or a path to a file with one of its extensions.
	repositoryPath = regexp.MustCompile(`^(\.ci|cmd|deploy|docs|internal|scripts|testdata|tools)/` +
		`|/[^/]*\.(fbs|go|json|md|mod|proto|sh|textproto|toml|txt|yml)$`)
	// symbol matches the exported name after a package, as in internal/admission.Epoch.
	symbol = regexp.MustCompile(`\.[A-Z]\w*$`)
)

// TestMarkdownReferences checks that the targets of relative links, and paths of the repository in code spans,
// exist. Incident reports describe the code as of their date, so only their links are checked.
func TestMarkdownReferences(t *testing.T) {
	pages := []struct {
		pattern string
		paths   bool
	}{
		{"*.md", true},
		{"docs/*.md", true},
		{"docs/incidents/*.md", false},
	}
	for _, group := range pages {
		files, err := filepath.Glob(filepath.Join(root, group.pattern))
		if err != nil || len(files) == 0 {
			t.Fatalf("pages %s: found %d, error %v", group.pattern, len(files), err)
		}
		for _, file := range files {
			name, err := filepath.Rel(root, file)
			if err != nil {
				t.Fatal(err)
			}
			t.Run(filepath.ToSlash(name), func(t *testing.T) {
				text := readPage(t, file)
				checkLinks(t, filepath.Dir(file), text)
				if group.paths {
					checkPaths(t, filepath.Dir(file), text)
				}
			})
		}
	}
}

func readPage(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return fencedBlock.ReplaceAllString(string(text), "")
}

func checkLinks(t *testing.T, folder, text string) {
	t.Helper()
	for _, match := range link.FindAllStringSubmatch(text, -1) {
		target, _, _ := strings.Cut(match[1], "#")
		if target == "" || strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
			continue
		}
		if !exists(filepath.Join(folder, target)) {
			t.Errorf("link target %s does not exist", match[1])
		}
	}
}

// checkPaths resolves paths relative to the root, to the page, and to the folders that pages omit from paths.
func checkPaths(t *testing.T, folder, text string) {
	t.Helper()
	bases := []string{root, folder, root + "/internal", root + "/internal/coordination", root + "/internal/scenario"}
	for _, path := range repositoryPaths(text) {
		found := false
		for _, base := range bases {
			found = found || exists(filepath.Join(base, path))
		}
		if !found {
			t.Errorf("path `%s` does not exist", path)
		}
	}
}

func repositoryPaths(text string) []string {
	var paths []string
	for _, span := range codeSpan.FindAllStringSubmatch(text, -1) {
		for _, word := range strings.Fields(span[1]) {
			word = word[strings.LastIndex(word, "=")+1:] // the value of a flag
			word = strings.TrimSuffix(strings.TrimPrefix(strings.Trim(word, `"',;:()`), "./"), "...")
			// A word with <...> is a placeholder.
			if strings.Contains(word, "://") || strings.ContainsAny(word, "<>") || !repositoryPath.MatchString(word) {
				continue
			}
			paths = append(paths, symbol.ReplaceAllString(word, ""))
		}
	}
	return paths
}

// exists reports whether any file matches a path or glob pattern, such as testdata/copies_*.
func exists(pattern string) bool {
	files, err := filepath.Glob(pattern)
	return err == nil && len(files) > 0
}

// TestRepositoryPaths checks which words are recognized as paths. Without it, a fault in repositoryPaths could
// make TestMarkdownReferences pass without checking anything.
func TestRepositoryPaths(t *testing.T) {
	cases := []struct {
		name, text, want string
	}{
		{"folder", "in `internal/storage`.", "internal/storage"},
		{"command", "`go test ./internal/coordination/... -v`", "internal/coordination/"},
		{"flag", "`go tool -modfile=tools/go.mod deadcode`", "tools/go.mod"},
		{"symbol", "`internal/admission.Epoch`", "internal/admission"},
		{"file below internal", "`storage/dependencies.go`", "storage/dependencies.go"},
		{"scenario data", "`testdata/production`", "testdata/production"},
		{"address", "`/submissions/wk-1/abort`", ""},
		{"stored key", "`queue/<n>`", ""},
		{"scenario", "`gap/alone`", ""},
		{"module", "`github.com/cespare/xxhash/v2`", ""},
		{"no code", "internal/storage", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := strings.Join(repositoryPaths(c.text), " "); got != c.want {
				t.Errorf("%q gives %q, not %q", c.text, got, c.want)
			}
		})
	}
}
