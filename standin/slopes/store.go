package slopes

import (
	"context"
	"slices"
	"strings"
	"time"
)

// Sizes and times of the suites that count the store's calls at rest.
var entryCounts = []int{4, 8, 16, 32}

const storeWindow = 5 * time.Second

// storeMeasures are the measures of the suites that count the store's calls.
var storeMeasures = []Measure{
	{"store_reads", perSecond}, {"store_writes", perSecond}, {"store_watches", perSecond}, {"store_waiting", countUnit},
	{"change_store_reads", countUnit}, {"change_store_writes", countUnit}, {"change_store_watches", countUnit},
	{"entry_cpu", perSecondCPU}, {"entry_moved", perSecondBytes},
}

// storeSuites returns the suites that count the store's calls at rest.
func storeSuites() []suite {
	return []suite{
		{"relays", "entries that all relay, without sides", "relays", storeMeasures, runRelays},
		{"entries", "entries behind one relay, without sides", "entries", storeMeasures, runEntries},
	}
}

// runRelays varies the entries that watch the store.
func runRelays(ctx context.Context, s *session) ([]Row, error) {
	return s.counted(ctx, manyRelays)
}

// runEntries varies the entries that look for the placement lease only.
func runEntries(ctx context.Context, s *session) ([]Row, error) {
	return s.counted(ctx, oneRelay)
}

// counted counts the store's calls with different numbers of entries.
func (s *session) counted(ctx context.Context, settings string) ([]Row, error) {
	var rows []Row
	for _, size := range entryCounts {
		values, err := s.calls(ctx, settings, size)
		if err != nil {
			return nil, err
		}
		rows = append(rows, Row{Size: float64(size), Values: values})
	}
	return rows, nil
}

// calls counts the store's calls at rest and for a change.
func (s *session) calls(ctx context.Context, settings string, size int) (Values, error) {
	f, err := s.start(ctx, size, settings)
	if err != nil {
		return nil, err
	}
	defer end(f)
	if err := s.apply(ctx, f, loadConfiguration()); err != nil {
		return nil, err
	}
	if err := pause(ctx, reclaimTime); err != nil {
		return nil, err
	}
	values, err := over(ctx, f, storeWindow, entriesOf(f))
	if err != nil {
		return nil, err
	}
	return values, s.changed(ctx, f, values, entriesOf(f))
}

// isMemory tells whether a measure is held at a moment, not spent over a time.
func isMemory(name string) bool {
	return slices.ContainsFunc([]string{"_heap", "_resident", "_waiting"}, func(end string) bool {
		return strings.HasSuffix(name, end)
	})
}
