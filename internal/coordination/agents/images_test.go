package agents

import "testing"

func TestImageCache(t *testing.T) {
	tests := []struct {
		name       string
		use        []string // each of 2 GB
		capacityGB float64
		want       string // of images a to d, those that stay
	}{
		{"all fit", []string{"a", "b", "c"}, 6, "abc"},
		{"least recently used is evicted", []string{"a", "b", "c"}, 5, "bc"},
		{"using one again keeps it", []string{"a", "b", "a", "c"}, 5, "ac"},
		{"one image counts once", []string{"a", "a", "b", "b"}, 4, "ab"},
		{"several are evicted", []string{"a", "b", "c", "d"}, 2, "d"},
		{"last one stays, however large", []string{"a", "b"}, 1, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var cache ImageCache
			for _, name := range test.use {
				cache.Use(name, 2)
			}
			cache.Evict(test.capacityGB)
			got := ""
			for _, name := range []string{"a", "b", "c", "d"} {
				if cache.Has(name) {
					got += name
				}
			}
			if got != test.want {
				t.Errorf("cache holds %q, want %q", got, test.want)
			}
		})
	}
}
