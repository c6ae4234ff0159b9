package coordination

import (
	"fmt"
	"slices"
	"testing"

	"pipitlatch/internal/storage"
)

func TestMaxBlockMachinesFitsValueLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		valueKB float64
		want    int
	}{
		{"limited by what the cloud grants at once", 16, storage.MaxBlockMachines},
		{"limited by the record size", 1, (972 - blockRecordReserve) / storage.MachineRecordBytes},
		{"at least one", 0.1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := testConfig(t)
			cfg.Settings.State.ValueKB = test.valueKB
			if got := New(cfg, "1").maxBlockMachines(); got != test.want {
				t.Errorf("maxBlockMachines = %d, want %d", got, test.want)
			}
		})
	}
}

// blockKeys returns the keys of the named blocks.
func blockKeys(names []string) []string {
	var keys []string
	for _, name := range names {
		keys = append(keys, storage.Keys{}.Block(name))
	}
	return keys
}

// writtenKeys returns the keys that a request writes, and those that it requires not to exist.
func writtenKeys(r *storage.Request) (written, guarded []string) {
	for _, put := range r.Puts {
		written = append(written, put.Key)
	}
	for _, compare := range r.Compares {
		if compare.ModRevision == 0 {
			guarded = append(guarded, compare.Key)
		}
	}
	return written, guarded
}

// requireValuesFit fails the test if a value of the request exceeds the maximum size.
func requireValuesFit(t *testing.T, r *storage.Request, maxValue int) {
	t.Helper()
	for _, put := range r.Puts {
		if len(put.Value) > maxValue {
			t.Errorf("%s has %d bytes, want at most %d", put.Key, len(put.Value), maxValue)
		}
	}
}

func TestPutBlockSplitsOversizedRecords(t *testing.T) {
	record := storage.BlockRecord{InstanceType: "m", Zone: "a", Machines: map[string]storage.MachineRecord{}}
	for i := range 40 {
		record.Machines[fmt.Sprintf("vm-%06d", i)] = storage.MachineRecord{}
	}
	tests := []struct {
		name    string
		valueKB float64
		exists  []string
		want    []string
		guarded []string // names of blocks that must not exist
	}{
		{"record that fits is not split", 16, nil, []string{"b"}, nil},
		{"parts get new names", 0.3, nil, []string{"b", "b+0", "b+1", "b+2"}, []string{"b+0", "b+1", "b+2"}},
		{"parts skip names in use", 0.3, []string{"b+0", "b+2"},
			[]string{"b", "b+1", "b+3", "b+4"}, []string{"b+1", "b+3", "b+4"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cfg := testConfig(t)
			cfg.Settings.State.ValueKB = test.valueKB
			c := New(cfg, "1")
			c.keys = storage.Keys{}
			for _, name := range test.exists {
				c.cache.Blocks[name] = storage.Versioned[storage.BlockRecord]{ModRevision: 1}
			}
			var r storage.Request
			c.putBlock(&r, "b", record)
			written, guarded := writtenKeys(&r)
			if want := blockKeys(test.want); !slices.Equal(written, want) {
				t.Errorf("written %v, want %v", written, want)
			}
			if want := blockKeys(test.guarded); !slices.Equal(guarded, want) {
				t.Errorf("guarded %v, want %v", guarded, want)
			}
			requireValuesFit(t, &r, cfg.Settings.MaxValue())
		})
	}
}
