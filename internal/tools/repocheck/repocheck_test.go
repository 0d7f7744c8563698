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
	auditFile:     "| clause | `TestA`, `TestA/subtest` |\n",
	balancerFile:  "policy = [\"a/a.go\"]\nnode = [\"a\"]\n",
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

func TestASoundRepositoryPassesAndPrintsItsCounts(t *testing.T) {
	out, err := check(t, nil)
	require.NoError(t, err)
	assert.Equal(t, `packages: 1
functions over 60 lines, outside tests: 0
files over 500 lines, outside tests: 0
bare maps (map[string]any), outside tests: 0
exported names without doc comment: 0 of 1
`, out)
}

func TestFindings(t *testing.T) {
	entry := sound[knownRedFile]
	for name, c := range map[string]struct{ file, text, finding string }{
		"audit names no test":            {auditFile, "a\n`TestA`, `TestB/x`\n", "docs/terms-audit.md:2: no test TestB"},
		"audit names a prefix of a test": {auditFile, "`Test`, `Testing`, `TestAB`\n", "no test TestAB"},
		"known red names no test": {knownRedFile, strings.ReplaceAll(entry, "TestA", "TestB"),
			"KNOWN-RED.txt: no test TestB"},
		"a method is no test": {"a/a_test.go", "package a\n\ntype s struct{}\n\nfunc (s) TestA() {}\n",
			"no test TestA"},
		"a function outside tests is no test": {"a/a_test.go",
			"package a\n\nimport \"testing\"\n\nfunc TestC(t *testing.T) {}\n", "no test TestA"},
		"known red in two packages": {"b/b_test.go", sound["a/a_test.go"], "KNOWN-RED.txt: TestA is in a and b"},
		"policy is not there": {balancerFile, "policy = [\"a/b.go\"]\nnode = [\"a\"]\n",
			"deploy/balancer.toml: policy names a/b.go"},
		"node is not there": {balancerFile, "policy = [\"a/a.go\"]\nnode = [\n\"a\",\n\"b\"]\n",
			"deploy/balancer.toml: node names b"},
		"policy lists nothing": {balancerFile, "node = [\"a\"]\n", "deploy/balancer.toml: policy lists nothing"},
		"a name without comment": {"b/b.go", "// Package b is b.\npackage b\n\nvar B int\n",
			"b/b.go:4:5: B has no doc comment"},
		"a package without comment": {"b/b.go", "package b\n", "b: the package has no package comment"},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := check(t, map[string]string{c.file: c.text})
			assert.ErrorContains(t, err, "findings")
			assert.Contains(t, out, c.finding)
		})
	}
}

func TestAFileThatCannotBeReadFails(t *testing.T) {
	for _, name := range []string{auditFile, balancerFile} {
		_, err := check(t, map[string]string{name: ""})
		assert.Error(t, err, name)
	}
	_, err := check(t, map[string]string{balancerFile: "policy = ["})
	assert.ErrorContains(t, err, balancerFile)
	_, err = check(t, map[string]string{"a/a.go": "package"})
	assert.ErrorContains(t, err, "a/a.go")
	_, err = check(t, nil, "walk")
	assert.ErrorContains(t, err, "unknown arguments")
}

func TestDocComments(t *testing.T) {
	for text, undocumented := range map[string][]string{
		"func F() {}":                    {"F"},
		"// F is.\nfunc F() {}":          nil,
		"func f() {}":                    nil,
		"type T int":                     {"T"},
		"// T is.\ntype T int":           nil,
		"// All.\ntype (\n\tT int\n)":    {"T"},
		"type (\n\t// T is.\n\tT int\n)": nil,
		"// T is.\ntype T[K any] int\n\nfunc (t *T[K]) M() {}": {"M"},
		"// T is.\ntype T int\n\nfunc (T) M() {}":              {"M"},
		"// T is.\ntype T int\n\nfunc (T) m() {}":              nil,
		"type t int\n\nfunc (t) M() {}":                        nil,
		"const A, B = 1, 2":                                    {"A", "B"},
		"const A = 1 // one":                                   nil,
		"// Some.\nconst (\n\tA = 1\n\tB = 2\n)":               nil,
		"const (\n\tA = 1\n\tB = 2 // two\n\tc = 3\n)":         {"A"},
	} {
		out, err := check(t, map[string]string{"b/b.go": "// Package b is b.\npackage b\n\n" + text + "\n"})
		assert.Equal(t, len(undocumented) > 0, err != nil, text)
		assert.Equal(t, len(undocumented), strings.Count(out, "has no doc comment"), text)
		for _, name := range undocumented {
			assert.Contains(t, out, ": "+name+" has no doc comment", text)
		}
	}
}

func TestGeneratedAndTestFilesNeedNoDocComments(t *testing.T) {
	out, err := check(t, map[string]string{
		"b/b.go":      "// Code generated by a tool. DO NOT EDIT.\n\npackage b\n\nfunc B() {}\n",
		"c/c_test.go": "package c\n\nfunc C() {}\n",
	})
	require.NoError(t, err)
	assert.Contains(t, out, "packages: 3\n")
}

func TestSizesAreCountedAndFailNothing(t *testing.T) {
	function := func(lines int) string { return "func f() {\n" + strings.Repeat("\n", lines-2) + "}\n" }
	header := "// Package b is b.\npackage b\n"
	out, err := check(t, map[string]string{
		"b/function60.go":  header + function(60),
		"b/function61.go":  header + function(61),
		"b/file500.go":     header + strings.Repeat("\n", 498),
		"b/file501.go":     header + strings.Repeat("\n", 499),
		"b/maps.go":        header + "var a map[string]any\n\nvar b map[string]interface{}\n\nvar c map[string]int\n",
		"b/many_test.go":   header + function(600) + "\nvar a map[string]any\n",
		"b/testdata/x.go":  "not Go",
		".hidden/x.go":     "not Go",
		"b/_underscore.md": "not Go",
	})
	require.NoError(t, err)
	assert.Contains(t, out, "functions over 60 lines, outside tests: 1\n")
	assert.Contains(t, out, "files over 500 lines, outside tests: 1\n")
	assert.Contains(t, out, "bare maps (map[string]any), outside tests: 2\n")
}
