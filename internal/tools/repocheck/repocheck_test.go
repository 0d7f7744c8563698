package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sound is a small repository without findings.
var sound = map[string]string{
	"a/a.go":      "// Package a is documented.\npackage a\n\n// A does nothing.\nfunc A() {}\n",
	"a/a_test.go": "package a\n\nimport \"testing\"\n\nfunc TestA(t *testing.T) {}\n",
	knownRedFile:  "test: TestA\ncommand: echo TestA # seed 7\nseen: it fails\nissue: 1\n",
}

// repository writes the sound repository with some files changed to a folder; a file with the text "" is left out.
func repository(t *testing.T, changes map[string]string) string {
	t.Helper()
	root := t.TempDir()
	files := map[string]string{}
	for _, set := range []map[string]string{sound, changes} {
		for name, text := range set {
			files[name] = text
		}
	}
	for name, text := range files {
		if text == "" {
			continue
		}
		path := filepath.Join(root, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	return root
}

// check runs one command on a changed repository.
func check(t *testing.T, changes map[string]string, args ...string) (string, error) {
	t.Helper()
	out := strings.Builder{}
	err := run(repository(t, changes), args, &out)
	return out.String(), err
}

func TestASoundRepositoryPasses(t *testing.T) {
	out, err := check(t, nil)
	require.NoError(t, err)
	assert.Empty(t, out)
}

func TestFindings(t *testing.T) {
	entry := sound[knownRedFile]
	for name, c := range map[string]struct{ file, text, finding string }{
		"known red names no test":   {knownRedFile, strings.ReplaceAll(entry, "TestA", "TestB"), "KNOWN-RED.txt: no test TestB"},
		"a method is no test":       {"a/a_test.go", "package a\n\ntype s struct{}\n\nfunc (s) TestA() {}\n", "no test TestA"},
		"known red in two packages": {"b/b_test.go", sound["a/a_test.go"], "KNOWN-RED.txt: TestA is in a and b"},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := check(t, map[string]string{c.file: c.text})
			assert.ErrorContains(t, err, "findings")
			assert.Contains(t, out, c.finding)
		})
	}
}
