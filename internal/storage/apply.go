package storage

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"

	"pipitlatch/internal/workload"
)

// Change identifies the record that an applied item changed.
type Change struct {
	Kind     RecordKind
	ID       string   // part of the key after the kind; for completed segments the job ID
	Machines []string // for a block: its current and previous machines
}

// Apply applies one item of the snapshot or of the change stream. Items that are not newer than the
// cached record are ignored, so that snapshot pages and the change stream may overlap.
func (c *Cache) Apply(item Item) (change Change, changed bool, err error) {
	rest, ok := strings.CutPrefix(item.Key, c.Keys.Prefix)
	if !ok {
		return Change{}, false, nil
	}
	kind, id, _ := strings.Cut(rest, "/")
	change = Change{Kind: RecordKind(kind), ID: id}
	changed, err = c.apply(&change, item)
	if err != nil {
		err = fmt.Errorf("record %s: %w", item.Key, err)
	}
	return change, changed, err
}

func (c *Cache) apply(change *Change, item Item) (changed bool, err error) {
	switch change.Kind {
	case ClusterLeaderRecord:
		return c.applyClusterLeader(item)
	case MemberRecord:
		return c.applyMember(change.ID, item)
	case PartitionLeaderRecord:
		return c.applyPartition(change.ID, item)
	case MachineBlockRecord:
		change.Machines, changed, err = c.applyBlock(change.ID, item)
		return changed, err
	case JobRecord:
		return c.applyJob(change.ID, item)
	case ArchivedJobRecord:
		c.HasArchivedJobs = true
		return false, nil
	case CompletedRecord:
		var segment int
		if change.ID, segment, err = parseCompletedSegment(change.ID); err != nil {
			return false, err
		}
		return c.applyCompleted(change.ID, segment, item)
	case DependencyPartRecord:
		return c.applyDependencyPart(change.ID, item)
	case CatalogRecord:
		return c.applyCatalog(item)
	case CatalogPartRecord:
		return c.applyCatalogPart(item)
	case AdmissionRecord:
		return c.applyAdmission(item), nil
	case FormatRecord:
		return c.applyFormat(item)
	}
	return false, nil // a record kind of a newer version
}

// applyToMap stores an item's record in a map unless the map holds a record at least as new.
func applyToMap[K comparable, T any](records map[K]Versioned[T], key K, item Item) (changed bool, err error) {
	if records[key].ModRevision >= item.ModRevision {
		return false, nil
	}
	if item.Deleted {
		_, had := records[key]
		delete(records, key)
		return had, nil
	}
	v, err := decode[T](item)
	if err != nil {
		return false, err
	}
	records[key] = v
	return true, nil
}

func (c *Cache) applyClusterLeader(item Item) (changed bool, err error) {
	if c.ClusterLeader.ModRevision >= item.ModRevision {
		return false, nil
	}
	if item.Deleted {
		c.ClusterLeader = Versioned[Process]{}
		return true, nil
	}
	v, err := decode[Process](item)
	if err != nil {
		return false, err
	}
	c.ClusterLeader = v
	return true, nil
}

// applyMember applies a member's registration, including the newest record format that its version
// writes.
func (c *Cache) applyMember(member string, item Item) (changed bool, err error) {
	changed, err = applyToMap(c.Members, member, item)
	if !changed {
		return false, err
	}
	var registration Registration
	if !item.Deleted {
		err = json.Unmarshal(item.Value, &registration)
	}
	c.MemberFormats[member] = registration.Format
	return true, err
}

func (c *Cache) applyPartition(id string, item Item) (changed bool, err error) {
	n, err := strconv.Atoi(id)
	if err != nil {
		return false, err
	}
	return applyToMap(c.Partitions, n, item)
}

// applyFormat applies the record format that may be written, which never decreases.
func (c *Cache) applyFormat(item Item) (changed bool, err error) {
	if item.Deleted {
		return false, nil
	}
	var record struct {
		Format int `json:"v"`
	}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return false, err
	}
	changed = record.Format > c.Format
	c.Format = max(c.Format, record.Format)
	return changed, nil
}

// applyAdmission stores the admission epoch's record without parsing it.
func (c *Cache) applyAdmission(item Item) (changed bool) {
	if c.Admission.ModRevision >= item.ModRevision {
		return false
	}
	c.Admission = Versioned[json.RawMessage]{Value: item.Value, ModRevision: item.ModRevision}
	return true
}

func (c *Cache) applyCatalog(item Item) (changed bool, err error) {
	if c.Catalog.ModRevision >= item.ModRevision || item.Deleted {
		return false, nil
	}
	v, err := decode[workload.Catalog](item)
	if err != nil {
		return false, err
	}
	c.Catalog = v
	return true, nil
}

// applyCatalogPart applies one part of the catalog and rebuilds the catalog from all parts.
func (c *Cache) applyCatalogPart(item Item) (changed bool, err error) {
	changed, err = applyToMap(c.catalogParts, item.Key, item)
	if !changed {
		return false, err
	}
	catalog := workload.Catalog{}
	for _, part := range c.catalogParts {
		maps.Copy(catalog, part.Value)
	}
	c.Catalog.Value = catalog
	return true, nil
}

// CatalogPartRevision returns the mod revision of a catalog part, or 0 if it does not exist.
func (c *Cache) CatalogPartRevision(n int) uint64 {
	return c.catalogParts[c.Keys.CatalogPart(n)].ModRevision
}
