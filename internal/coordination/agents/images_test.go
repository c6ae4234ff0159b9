package agents

import "testing"

func TestImageCache(t *testing.T) {
	tests := []struct {
		name       string
		use        []string // images of 2 GB each, in order of use
		capacityGB float64
		want       string // the images that remain cached
	}{
		{"all fit", []string{"a", "b", "c"}, 6, "abc"},
		{"least recently used is evicted", []string{"a", "b", "c"}, 5, "bc"},
		{"repeated use protects from eviction", []string{"a", "b", "a", "c"}, 5, "ac"},
		{"each image counts once", []string{"a", "a", "b", "b"}, 4, "ab"},
		{"several are evicted", []string{"a", "b", "c", "d"}, 2, "d"},
		{"most recent one stays, even if it exceeds the capacity", []string{"a", "b"}, 1, "b"},
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
