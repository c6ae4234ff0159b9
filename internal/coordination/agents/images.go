package agents

import "slices"

// ImageCache is what a machine's cache of images is thought to hold: the most recently used
// ones.
type ImageCache struct {
	images []image // most recently used last
}

type image struct {
	name string
	gb   float64
}

// Has tells whether the cache holds an image.
func (c *ImageCache) Has(name string) bool {
	return slices.ContainsFunc(c.images, func(i image) bool { return i.name == name })
}

// Use notes that a task with this image was started.
func (c *ImageCache) Use(name string, gb float64) {
	c.images = slices.DeleteFunc(c.images, func(i image) bool { return i.name == name })
	c.images = append(c.images, image{name, gb})
}

// Evict removes the images that were not used for longest until the others fit. The last one
// used always stays: its task runs, so the agent has it.
func (c *ImageCache) Evict(capacityGB float64) {
	for len(c.images) > 1 && c.size() > capacityGB {
		c.images = c.images[1:]
	}
}

func (c *ImageCache) size() float64 {
	sum := 0.0
	for _, i := range c.images {
		sum += i.gb
	}
	return sum
}
