package clusterleader

import (
	"testing"

	"pipitlatch/internal/micros"
)

func TestRevisionHistoryRevisionOlderThan(t *testing.T) {
	const age = 30 * micros.Second
	observation := func(seconds int64, revision uint64) datedRevision {
		return datedRevision{micros.Time(seconds) * micros.Second, revision}
	}
	tests := []struct {
		name     string
		observed []datedRevision
		now      micros.Time
		want     uint64
		ok       bool
	}{
		{"none without an observation", nil, 100 * micros.Second, 0, false},
		{"none exactly as old as the age", []datedRevision{observation(0, 5)}, age, 0, false},
		{"the first that is old enough", []datedRevision{observation(0, 5)}, age + 1, 5, true},
		{"not one that was recorded later", []datedRevision{observation(0, 5), observation(10, 6)}, age + 1, 5, true},
		{"the latest that is old enough",
			[]datedRevision{observation(0, 5), observation(10, 6), observation(45, 7)}, 45 * micros.Second, 6, true},
		{"not one observed within revisionInterval of the previous one",
			[]datedRevision{observation(0, 5), observation(9, 6), observation(45, 7)}, 45 * micros.Second, 5, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var history revisionHistory
			for _, o := range test.observed {
				history.observe(o.at, o.revision, age)
			}
			if got, ok := history.revisionOlderThan(test.now, age); got != test.want || ok != test.ok {
				t.Errorf("revisionOlderThan = %d, %v, want %d, %v", got, ok, test.want, test.ok)
			}
		})
	}
}

func TestRevisionHistoryLimitsItsSize(t *testing.T) {
	const age = 30 * micros.Second
	var history revisionHistory
	for second := range micros.Time(1000) {
		history.observe(second*micros.Second, uint64(second), age)
	}
	if got, most := len(history.observed), int(age/revisionInterval)+2; got > most {
		t.Errorf("%d revisions are kept, want at most %d", got, most)
	}
}
