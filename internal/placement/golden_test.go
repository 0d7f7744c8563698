package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"liftshift/internal/goldenfile"
)

// Guards against changes of the encoding, which is stored in logs and snapshots, and of the choice of replicas.
func TestGolden_Table(t *testing.T) {
	assigned := Table{}
	var members []Member
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, Member{Name: name, Incarnation: 1, Zone: "z" + name})
	}
	require.True(t, assigned.Reassign(members, 1))
	members[1].Lost = true
	require.True(t, assigned.Reassign(members, 0))
	claim := AdoptionClaim{Name: "b", Incarnation: 3, Successor: "a", SuccessorIncarnation: 1, Partitions: 9}
	table := Table{
		Version: 6,
		Step:    7,
		Copies:  1,
		Partitions: []Partition{
			{
				Current:  []Replica{{Name: "a", Incarnation: 1, Ready: true}, {Name: "b", Incarnation: 3}},
				Previous: []Replica{{Name: "b", Incarnation: 3}},
			},
			{},
		},
		Claims: []AdoptionClaim{claim},
	}
	for name, value := range map[string]any{
		"table": &table, "table-empty": &Table{}, "table-seated": &assigned,
		"claim": &claim, "claim-empty": &AdoptionClaim{}, "chair-empty": &Replica{},
		"place": &Member{Name: "a", Incarnation: 1, Lost: true, Zone: "z1"}, "place-empty": &Member{},
	} {
		goldenfile.CompareJSON(t, name+".json", value)
	}
}
