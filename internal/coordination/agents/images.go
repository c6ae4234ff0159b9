package agents

import "slices"

// ImageCache models the image cache of a machine as an LRU cache. It is inferred from the tasks started
// there and may differ from what the agent actually holds.
type ImageCache struct {
	images []image // ordered by last use, most recent last
}

type image struct {
	name   string
	sizeGB float64
}

// Has reports whether the cache holds an image.
func (c *ImageCache) Has(name string) bool {
	return slices.ContainsFunc(c.images, func(i image) bool { return i.name == name })
}

// Use marks an image as the most recently used one, adding it if it is not cached.
func (c *ImageCache) Use(name string, sizeGB float64) {
	c.images = slices.DeleteFunc(c.images, func(i image) bool { return i.name == name })
	c.images = append(c.images, image{name, sizeGB})
}

// Evict removes the least recently used images until the rest fit into the capacity. The most
// recently used image always stays: its task was started, so the agent needs it.
func (c *ImageCache) Evict(capacityGB float64) {
	for len(c.images) > 1 && c.totalGB() > capacityGB {
		c.images = c.images[1:]
	}
}

func (c *ImageCache) totalGB() float64 {
	sum := 0.0
	for _, i := range c.images {
		sum += i.sizeGB
	}
	return sum
}
