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

var update = flag.Bool("update", false, "write the golden files")

// golden compares bytes with a file of testdata/golden, and returns what the file has.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), name)
	return want
}

// goldenJSON compares a value with its file in both directions; value is a pointer.
func goldenJSON(t *testing.T, name string, value any) {
	t.Helper()
	tagged(t, reflect.TypeOf(value))
	got, err := json.Marshal(value)
	require.NoError(t, err)
	back := reflect.New(reflect.TypeOf(value).Elem())
	require.NoError(t, json.Unmarshal(golden(t, name, got), back.Interface()))
	assert.Equal(t, value, back.Interface(), name)
}

// tagged checks that each field of a type, and of the types in it, has a tag for its name in JSON.
func tagged(t *testing.T, of reflect.Type) {
	t.Helper()
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		tagged(t, of.Elem())
	case reflect.Struct:
		for k := range of.NumField() {
			f := of.Field(k)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			assert.NotEmpty(t, name, "%v.%s", of, f.Name)
			tagged(t, f.Type)
		}
	}
}

// The table and the types in it have the bytes that they had; replicas are chosen as they were.
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
	for name, value := range map[string]any{
		"table": &Table{Version: 6, Step: 7, Copies: 1, Partitions: []Partition{{Current: []Replica{{Name: "a", Incarnation: 1, Ready: true}, {Name: "b", Incarnation: 3}},
			Previous: []Replica{{Name: "b", Incarnation: 3}}}, {}}, Claims: []AdoptionClaim{claim}},
		"table-empty": &Table{}, "table-seated": &assigned, "claim": &claim, "claim-empty": &AdoptionClaim{}, "chair-empty": &Replica{},
		"place": &Member{Name: "a", Incarnation: 1, Lost: true, Zone: "z1"}, "place-empty": &Member{},
	} {
		goldenJSON(t, name+".json", value)
	}
}
