package scenario

import (
	"encoding/json"
	"os"
	"strings"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

// recordedDeployment is what an earlier deployment left in the store, and said to its peers.
type recordedDeployment struct {
	Revision uint64 `json:"ledger"`
	Rows     []struct {
		Key         string          `json:"key"`
		Value       json.RawMessage `json:"v"`
		ModRevision uint64          `json:"stamp"`
	} `json:"rows"`
	Status [][]byte `json:"status"`
}

func readRecordedDeployment(file string) (*recordedDeployment, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var d recordedDeployment
	return &d, json.Unmarshal(raw, &d)
}

// load puts records in place that an earlier deployment left, whose processes and
// machines are gone.
func (s *keyValueStore) load(file string) {
	d, err := readRecordedDeployment(file)
	if err != nil {
		s.sim.breakRule("bench", "%v", err)
		return
	}
	s.loaded = storage.NewCache(storage.Keys{Prefix: "pl/"})
	s.leases.lastID++
	s.leases.expiry[s.leases.lastID] = s.sim.now + micros.Second // of the processes that were registered
	for _, r := range d.Rows {
		leaseID := uint64(0)
		if strings.HasPrefix(r.Key, "pl/node/") || r.Key == "pl/leader" {
			leaseID = s.leases.lastID
		}
		s.keys[r.Key] = storedRecord{r.Value, r.ModRevision, leaseID}
		key := strings.Replace(r.Key, "pl/~over/", "pl/job/", 1)
		if _, _, err := s.loaded.Apply(storage.Item{Key: key, Value: r.Value, ModRevision: r.ModRevision}); err != nil {
			s.sim.breakRule("bench", "%v", err)
		}
	}
	s.revision = d.Revision
}

// restoreCompletion gives a job's user what was done before the records were left.
func (s *keyValueStore) restoreCompletion(j *userJob) {
	if s.loaded == nil || s.loaded.Jobs[j.ref] == nil {
		return
	}
	e := s.loaded.Jobs[j.ref]
	j.cancelRequested = e.Job.Phase == workload.Cancelled
	for t := range j.spec.taskCount {
		if e.Job.Phase == workload.Done || (e.Completed != nil && e.Completed.Has(t)) {
			j.observed.done[t] = true
		}
	}
}
