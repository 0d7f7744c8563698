package locality

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/goldenfile"
)

// goldenJSON compares the encoding of a value with its golden file, and the decoded file with the value.
func goldenJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	data, err := json.Marshal(value)
	require.NoError(t, err, name)
	var got T
	require.NoError(t, json.Unmarshal(goldenfile.Compare(t, name+".json", data), &got), name)
	assert.Equal(t, value, got, name)
}

// The encodings of reports, plans and orders do not change, with all fields set and with none.
func TestGolden_LocalityValues(t *testing.T) {
	report := Report{Zone: "z0", Observers: 5, ObserversWithoutList: 1, DemandThreads: 12.5, Observations: []Observation{
		{Zone: "z0", Healthy: 3, Degraded: 1, Unreachable: 1, InFlight: 4.5},
		{Zone: "z1", Healthy: 1, Degraded: 2, Unreachable: 2, InFlight: 0.25},
	}}
	goldenJSON(t, "report", reportMessage{Sequence: 7, Report: report})
	goldenJSON(t, "report-empty", reportMessage{})
	shares := []Share{{Name: "a", Threads: 1.5}, {Name: "b", Threads: 2}}
	plan := Plan{
		Number:  9,
		Pairs:   []ZonePair{{From: "z0", To: "z1", Cap: 3.5, Shares: shares}, {From: "z1", To: "z0"}},
		Revoked: []RevokedShare{{From: "z0", To: "z1", Name: "c", Threads: 2.5, LeftMS: 1500}},
	}
	for state, name := range []string{"whole", "thinned", "doubtful", "lost", "evacuated", "returning"} {
		plan.Zones = append(plan.Zones, Zone{Name: "z-" + name, Region: "r", State: State(state), Stage: 2, Flaps: 3,
			Cores: 100.5, Kinds: []string{"big", "small"}, Reason: "seen", InStateMS: 250.5, Members: 5})
	}
	assert.Equal(t, []State{0, 1, 2, 3, 4, 5}, []State{Healthy, Degraded, Suspected, Lost, Evacuated, Recovering})
	goldenJSON(t, "plan", plan)
	goldenJSON(t, "plan-empty", Plan{})
	goldenJSON(t, "plan-bare", Plan{Number: 1, Zones: []Zone{{}}, Pairs: []ZonePair{{}}, Revoked: []RevokedShare{{}}})
	for _, kind := range []OrderKind{Evacuate, Hold, Return} {
		goldenJSON(t, "order-"+string(kind), Order{Kind: kind, Zone: "z0", Author: "ann", Reason: "work on the net",
			Until: 1700000000123, SpanMS: 60000.5})
	}
	goldenJSON(t, "order-empty", Order{})
}
