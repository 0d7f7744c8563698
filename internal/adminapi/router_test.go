package adminapi

import (
	"context"
	"math"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRouter_CarriesTypedMessages(t *testing.T) {
	var router Router
	weight := 2.5
	setRequest := SetQuotaRequest{Team: "render", Author: "kim", Weight: &weight}
	Handle(&router, OperationSetQuota, func(_ context.Context, request SetQuotaRequest) (SetQuotaReply, error) {
		assert.Equal(t, setRequest, request)
		return SetQuotaReply{Lasts: true}, nil
	})
	handoff := HandoffReply{HandoffCounts: HandoffCounts{Open: 3, CopiesStored: 4}, LeaseHeld: true,
		PlacementSummary: &PlacementSummary{CopiesWanted: 2, Partitions: 32}, Replicas: []MemberPartitions{{"a", 7}},
		Claims: []AdoptionClaim{}, Orphaned: []OrphanedCopies{}}
	Handle(&router, OperationHandoff, func(context.Context, Empty) (HandoffReply, error) { return handoff, nil })
	Handle(&router, OperationLocality, func(context.Context, Empty) (LocalityReply, error) {
		return LocalityReply{Reaches: []ZoneReach{{Zone: "z", Threads: math.Inf(1)}}}, nil
	})
	path := filepath.Join(t.TempDir(), "s")
	s, err := Serve(path, router.Dispatch)
	require.NoError(t, err)
	defer s.Close()
	setReply, err := Ask[SetQuotaReply](t.Context(), path, OperationSetQuota, setRequest)
	require.NoError(t, err)
	assert.True(t, setReply.Lasts)
	got, err := Ask[HandoffReply](t.Context(), path, OperationHandoff, Empty{})
	require.NoError(t, err)
	assert.Equal(t, handoff, got)
	locality, err := Ask[LocalityReply](t.Context(), path, OperationLocality, Empty{})
	require.NoError(t, err)
	assert.Equal(t, math.Inf(1), locality.Reaches[0].Threads)
	_, err = Call(t.Context(), path, OperationSetQuota, map[string]any{"weight": "much"})
	assert.ErrorContains(t, err, "weight: much is no float64")
	assert.ErrorAs(t, err, &RequestError{})
	_, err = Call(t.Context(), path, "nonsense", nil)
	assert.ErrorContains(t, err, `no question "nonsense"`)
}

func TestEncode_UsesTheWireNames(t *testing.T) {
	assert.Equal(t, map[string]any{"team": "t", "who": "", "queue": 0.0},
		encode(SetQuotaRequest{Team: "t", Queue: new(float64)}))
	assert.Equal(t, map[string]any{"name": "a", "zone": "", "phase": "here", "id": "1f"},
		encode(Voter{Name: "a", State: "here", ID: "1f"}))
	assert.Equal(t, map[string]any{"lines": []any{}}, encode(LinesReply{}))
	fields := encode(HandoffReply{})
	assert.NotContains(t, fields, "parts", "no placement is agreed yet")
	assert.Equal(t, 0.0, fields["held_copies"])
	assert.Equal(t, []any{}, fields["chairs"])
}

func TestDescribe_UsesTheGoFieldNames(t *testing.T) {
	fields := Describe(HandoffReply{HandoffCounts: HandoffCounts{AdoptionsDone: 2}, LeaseHeld: true})
	assert.Equal(t, 2.0, fields["adoptions_done"])
	assert.Equal(t, true, fields["lease_held"])
	assert.Equal(t, map[string]any{"zone": "z", "tier": 0.0, "threads": "+Inf", "latency_ms": 0.0, "min_density": 0.0},
		Describe(ZoneReach{Zone: "z", Threads: math.Inf(1)}))
	assert.Equal(t, "in_state_ms", snakeCase("InStateMS"))
	assert.Equal(t, "id", snakeCase("ID"))
}
