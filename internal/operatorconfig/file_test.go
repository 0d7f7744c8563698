package operatorconfig

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAFileIsReadWithItsUnits(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.hcl")
	require.NoError(t, os.WriteFile(path, []byte("store {\n directory = \"/d\"\n segment = \"64KiB\"\n lag = \"20ms\"\n remember = \"1h\"\n}\n"), 0o600))
	f, err := Read(path)
	require.NoError(t, err)
	assert.Equal(t, []any{"/d", int64(65536), 20 * time.Millisecond}, []any{f.Store.Directory, f.Store.SegmentBytes, f.Store.FlushDelay})
	assert.Equal(t, []any{3600e3, 4096, 200000},
		[]any{f.Store.RememberMS, f.Store.MaxAnswerBytes, f.Store.MaxRecords})
	none, err := Parse(nil, "x")
	assert.NoError(t, err)
	assert.Nil(t, none.Store)
	assert.Equal(t, []string{"store"}, f.Differs(none))
	other := *f.Store
	other.FlushDelay = 1
	assert.Len(t, f.Differs(&File{Store: &other}), 1)
	assert.Empty(t, f.Differs(f))
	_, err = Read(path + "-not")
	assert.ErrorContains(t, err, "operators' file")
}

// Every complaint names file, line and column; all of them are told at once.
func TestWhatIsWrongIsNamedWithItsPlace(t *testing.T) {
	for text, want := range map[string]string{
		"store {\n":                                                        "f:1:7: Unclosed configuration block",
		"stor {}":                                                          `f:1:1: Unsupported block type`,
		"store {}":                                                         "directory",
		"store {\n directory = \"rel\"\n}":                                 `f:2:14: directory must be an absolute path, not "rel"`,
		"store {\n directory = \"\"\n}":                                    "f:2:14: directory is empty",
		"store {\n directory = null\n}":                                    "f:2:14: directory has no value",
		"store {\n directory = 3\n}":                                       "f:2:14: directory must be a text",
		"store {\n directory = \"/d\"\n lag = 5\n}":                        `f:3:8: lag must be a time such as "50ms" or "10m"`,
		"store {\n directory = \"/d\"\n lag = \"2s\"\n}":                   "f:3:8: lag must be from 1ms to 1s",
		"store {\n directory = \"/d\"\n segment = \"1 XB\"\n}":             "f:3:12: segment must be a size",
		"store {\n directory = \"/d\"\n segment = \"1KiB\"\n}":             "f:3:12: segment must be from 64KiB to 256MiB",
		"store {\n directory = \"/d\"\n most_kept = 1000.5\n}":             "f:3:14: most_kept must be a whole number",
		"store {\n directory = \"/d\"\n most_kept = 1\n}":                  "f:3:14: most_kept must be from 1000 to 10000000",
		"store {\n directory = \"/d\"\n nonsense = 1\n}":                   "f:3:2: Unsupported argument",
		"store {\n directory = \"/d\"\n}\nstore {\n directory = \"/d\"\n}": "f:4:1: block store stands here a second time",
		"store {\n directory = foo\n}":                                     "f:2:14",
	} {
		_, err := Parse([]byte(text), "f")
		assert.ErrorContains(t, err, want, text)
	}
	_, err := Parse([]byte("store {\n directory = \"x\"\n lag = \"9h\"\n}"), "f")
	assert.ErrorContains(t, err, "f:2:14")
	assert.ErrorContains(t, err, "f:3:8")
}
