package placement

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares got with a file in testdata/golden and returns the content of the file. With -update, it writes the
// file first.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), "%s differs from the golden file", name)
	return want
}

// goldenJSON checks that value, a pointer, is encoded as in its golden file and that the file is decoded to an equal
// value.
func goldenJSON(t *testing.T, name string, value any) {
	t.Helper()
	assertTags(t, reflect.TypeOf(value))
	got, err := json.Marshal(value)
	require.NoError(t, err)
	decoded := reflect.New(reflect.TypeOf(value).Elem())
	require.NoError(t, json.Unmarshal(golden(t, name, got), decoded.Interface()))
	assert.Equal(t, value, decoded.Interface(), "golden file %s is decoded differently", name)
}

// assertTags checks that each field of a type, and of the types that it refers to, has a JSON tag with a name.
func assertTags(t *testing.T, checked reflect.Type) {
	t.Helper()
	switch checked.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		assertTags(t, checked.Elem())
	case reflect.Struct:
		for i := range checked.NumField() {
			field := checked.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			assert.NotEmpty(t, name, "field %v.%s has no JSON name", checked, field.Name)
			assertTags(t, field.Type)
		}
	}
}

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
		goldenJSON(t, name+".json", value)
	}
}
