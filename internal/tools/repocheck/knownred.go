package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// knownRedEntry is one test that fails for a known fault.
type knownRedEntry struct {
	test    string // the name of its function
	command string // the shell command that shows the failure; a seed stands in it, or in a comment at its end
	seen    string // how it fails
	issue   string
}

// knownRedFields are the lines of an entry, in their order.
var knownRedFields = []string{"test", "command", "seen", "issue"}

// wholeTestName matches the name of a test and nothing else.
var wholeTestName = regexp.MustCompile(`^Test[A-Z0-9_][A-Za-z0-9_]*$`)

// readKnownRed reads the file of known failures of a repository. A file that is not there has no entries.
func readKnownRed(root string) ([]knownRedEntry, error) {
	text, err := os.ReadFile(filepath.Join(root, knownRedFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnownRed(string(text))
}

// parseKnownRed reads entries that are separated by blank lines.
func parseKnownRed(text string) ([]knownRedEntry, error) {
	entries := []knownRedEntry{}
	listed := map[string]bool{}
	block := []string{}
	for i, line := range append(strings.Split(text, "\n"), "") {
		if strings.TrimSpace(line) != "" {
			block = append(block, line)
			continue
		}
		if len(block) == 0 {
			continue
		}
		entry, err := parseKnownRedEntry(block)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", knownRedFile, i+1-len(block), err)
		}
		if listed[entry.test] {
			return nil, fmt.Errorf("%s:%d: %s is listed twice", knownRedFile, i+1-len(block), entry.test)
		}
		listed[entry.test] = true
		entries = append(entries, entry)
		block = block[:0]
	}
	return entries, nil
}

// parseKnownRedEntry reads the lines of one entry.
func parseKnownRedEntry(lines []string) (knownRedEntry, error) {
	if len(lines) != len(knownRedFields) {
		return knownRedEntry{}, fmt.Errorf(
			"an entry has the lines 'test:', 'command:', 'seen:' and 'issue:', this one has %d lines", len(lines))
	}
	values := make([]string, len(lines))
	for i, line := range lines {
		value, found := strings.CutPrefix(line, knownRedFields[i]+":")
		values[i] = strings.TrimSpace(value)
		if !found || values[i] == "" {
			return knownRedEntry{}, fmt.Errorf("line %d of an entry is '%s: ...', not %q", i+1, knownRedFields[i], line)
		}
	}
	entry := knownRedEntry{test: values[0], command: values[1], seen: values[2], issue: values[3]}
	if !wholeTestName.MatchString(entry.test) {
		return knownRedEntry{}, fmt.Errorf("%q is not the name of a test", entry.test)
	}
	if !strings.Contains(entry.command, entry.test) {
		return knownRedEntry{}, fmt.Errorf("the command does not name %s: %q", entry.test, entry.command)
	}
	return entry, nil
}

// checkKnownRed finds entries whose test does not exist, or exists in several packages, in all of which it would be
// skipped.
func checkKnownRed(root string, source *Source) ([]string, error) {
	entries, err := readKnownRed(root)
	if err != nil {
		return nil, err
	}
	declared := testFolders(source)
	findings := []string{}
	for _, entry := range entries {
		switch folders := declared[entry.test]; len(folders) {
		case 0:
			findings = append(findings, fmt.Sprintf("%s: no test %s", knownRedFile, entry.test))
		case 1:
		default:
			findings = append(findings, fmt.Sprintf("%s: %s is in %s", knownRedFile, entry.test, strings.Join(folders, " and ")))
		}
	}
	return findings, nil
}

// skipPattern is the pattern for go test -skip that matches the tests of the entries and no others.
func skipPattern(entries []knownRedEntry) string {
	if len(entries) == 0 {
		return ""
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.test
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// runKnownRed runs the command of each entry and prints its outcome.
func runKnownRed(root string, out io.Writer) error {
	entries, err := readKnownRed(root)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		fmt.Fprintf(out, "known red, does not count: %s (issue %s): %s\n", entry.test, entry.issue, entry.seen)
		command := exec.Command("bash", "-c", entry.command)
		command.Dir, command.Stdout, command.Stderr = root, out, out
		outcome := "passed"
		if err := command.Run(); err != nil {
			outcome = "failed: " + err.Error()
		}
		fmt.Fprintf(out, "known red: %s %s\n", entry.test, outcome)
	}
	return nil
}
