package coordination

import (
	"testing"

	"pipitlatch/internal/micros"
)

func TestStatusSchedule(t *testing.T) {
	for name, test := range map[string]struct {
		soon bool
		age  micros.Time // of the last status
		due  bool
	}{
		"regular, before the interval": {false, statusInterval - 1, false},
		"regular, after the interval":  {false, statusInterval, true},
		"early, before the interval":   {true, earlyStatusInterval - 1, false},
		"early, after the interval":    {true, earlyStatusInterval, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * micros.Second
			s := &statusSchedule{sentAt: now - test.age, soon: test.soon}
			if got := s.markSentIfDue(now); got != test.due {
				t.Errorf("due %v, want %v", got, test.due)
			}
			if s.soon != (test.soon && !test.due) {
				t.Errorf("soon is %v after markSentIfDue", s.soon)
			}
			if s.markSentIfDue(now) {
				t.Error("status is due again immediately")
			}
		})
	}
}
