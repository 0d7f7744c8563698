// Package goldenfile compares encoded data with the files in testdata/golden of a package under test. It serves tests
// of formats that other versions read. With the flag -update, the files are written before they are compared.
package goldenfile

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

// Updating reports whether the golden files are written anew.
func Updating() bool { return *update }

// Compare compares data with a golden file and returns the content of the file.
func Compare(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), "%s differs from the golden file", path)
	return want
}

// CompareJSON compares the JSON encoding of a value with a golden file, and the decoded file with the value. The value
// is a pointer to a type whose fields all have JSON tags.
func CompareJSON(t *testing.T, name string, value any) {
	t.Helper()
	checkJSONTags(t, reflect.TypeOf(value))
	got, err := json.Marshal(value)
	require.NoError(t, err)
	decoded := reflect.New(reflect.TypeOf(value).Elem())
	require.NoError(t, json.Unmarshal(Compare(t, name, got), decoded.Interface()))
	assert.Equal(t, value, decoded.Interface(), "the value decoded from golden file %s", name)
}

// checkJSONTags checks that each field of a type, and of the types in it, has a JSON tag with a name.
func checkJSONTags(t *testing.T, checked reflect.Type) {
	t.Helper()
	switch checked.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		checkJSONTags(t, checked.Elem())
	case reflect.Struct:
		for i := range checked.NumField() {
			field := checked.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			assert.NotEmpty(t, name, "the field %v.%s has no JSON tag", checked, field.Name)
			checkJSONTags(t, field.Type)
		}
	}
}
