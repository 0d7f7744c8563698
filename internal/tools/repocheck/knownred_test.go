package main

import (
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// entryText is an entry for a test.
func entryText(test string) string {
	return "test: " + test + "\ncommand: go test ./a -run '^" + test + "$'\nseen: it fails: at times\nissue: 28\n"
}

func TestKnownRedEntriesAreRead(t *testing.T) {
	for _, text := range []string{"", "\n\n"} {
		entries, err := parseKnownRed(text)
		require.NoError(t, err)
		assert.Empty(t, entries)
	}
	names := []string{"TestA", "TestB", "TestC", "TestD"}
	text := "\n"
	for _, name := range names {
		text += entryText(name) + "\n\n"
	}
	entries, err := parseKnownRed(strings.TrimRight(text, "\n"))
	require.NoError(t, err)
	require.Len(t, entries, len(names))
	for i, name := range names {
		assert.Equal(t, knownRedEntry{
			test: name, command: "go test ./a -run '^" + name + "$'", seen: "it fails: at times", issue: "28",
		}, entries[i])
	}
}

func TestMalformedKnownRedEntriesAreRefused(t *testing.T) {
	good := entryText("TestA")
	for text, want := range map[string]string{
		"TestA, it fails, 28\n":                              "KNOWN-RED.txt:1: an entry has the lines",
		strings.Replace(good, "issue: 28\n", "", 1):          "this one has 3 lines",
		good + "note: x\n":                                   "this one has 5 lines",
		good + "\ntest: TestB\n":                             "KNOWN-RED.txt:6: an entry has the lines",
		good + entryText("TestB"):                            "this one has 8 lines",
		good + "\n" + good:                                   "KNOWN-RED.txt:6: TestA is listed twice",
		strings.Replace(good, "seen: it", "saw: it", 1):      "line 3 of an entry is 'seen: ...'",
		strings.Replace(good, "issue: 28", "issue:", 1):      "line 4 of an entry is 'issue: ...'",
		strings.Replace(good, "test: TestA", "test: .*", 1):  `".*" is not the name of a test`,
		strings.Replace(good, "test: TestA", "test: Foo", 1): `"Foo" is not the name of a test`,
		strings.Replace(good, "^TestA$", "^TestB$", 1):       "the command does not name TestA",
	} {
		_, err := parseKnownRed(text)
		assert.ErrorContains(t, err, want, text)
		for _, args := range [][]string{{}, {"skip"}, {"known-red"}} {
			_, err := check(t, map[string]string{knownRedFile: text}, args...)
			assert.ErrorContains(t, err, want, text)
		}
	}
}

func TestThePatternMatchesJustTheKnownRedTests(t *testing.T) {
	out, err := check(t, map[string]string{knownRedFile: entryText("TestA") + "\n" + entryText("TestB")}, "skip")
	require.NoError(t, err)
	pattern := regexp.MustCompile(strings.TrimSpace(out))
	for name, want := range map[string]bool{
		"TestA": true, "TestB": true, "TestAB": false, "ATestA": false, "Test": false,
	} {
		assert.Equal(t, want, pattern.MatchString(name), name)
	}
	for _, text := range []string{"", "\n"} {
		out, err = check(t, map[string]string{knownRedFile: text}, "skip")
		require.NoError(t, err)
		assert.Equal(t, "\n", out)
	}
}

func TestTheOutcomeOfKnownRedTestsIsPrintedAndDoesNotCount(t *testing.T) {
	out, err := check(t, map[string]string{
		knownRedFile: "test: TestA\ncommand: echo ran TestA # seed 7\nseen: it fails\nissue: 1\n\n" +
			"test: TestB\ncommand: echo ran TestB; exit 3\nseen: it hangs\nissue: 2\n",
	}, "known-red")
	require.NoError(t, err)
	assert.Equal(t, `known red, does not count: TestA (issue 1): it fails
ran TestA
known red: TestA passed
known red, does not count: TestB (issue 2): it hangs
ran TestB
known red: TestB failed: exit status 3
`, out)
}
