// Command repocheck checks what the Go tools do not: that the tests and paths that the repository's pages name exist,
// and that exported names have doc comments. It also prints counts of the source.
//
// Usage, at the root of the repository:
//
//	repocheck            checks everything and prints the counts
//	repocheck skip       prints the tests of KNOWN-RED.txt as a pattern for go test -skip, or an empty line if none
//	repocheck known-red  runs the tests of KNOWN-RED.txt and prints their outcome, which does not count
package main

import (
	"fmt"
	"io"
	"os"
)

// Files that name tests or paths, relative to the root of the repository.
const (
	knownRedFile = "KNOWN-RED.txt"
	auditFile    = "docs/terms-audit.md"
	balancerFile = "deploy/balancer.toml"
)

func main() {
	if err := run(".", os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "repocheck:", err)
		os.Exit(1)
	}
}

// run carries out one command on the repository at root.
func run(root string, args []string, out io.Writer) error {
	switch {
	case len(args) == 0:
		return checkAll(root, out)
	case len(args) == 1 && args[0] == "skip":
		return printSkipPattern(root, out)
	case len(args) == 1 && args[0] == "known-red":
		return runKnownRed(root, out)
	default:
		return fmt.Errorf("unknown arguments %q; known are none, skip and known-red", args)
	}
}

// checkAll prints each finding and the counts, and fails if there is a finding.
func checkAll(root string, out io.Writer) error {
	source, err := loadSource(root)
	if err != nil {
		return err
	}
	docs := checkDocs(source)
	findings := docs.findings
	for _, check := range []func(string, *Source) ([]string, error){checkAudit, checkKnownRed, checkBalancer} {
		found, err := check(root, source)
		if err != nil {
			return err
		}
		findings = append(findings, found...)
	}
	for _, finding := range findings {
		fmt.Fprintln(out, finding)
	}
	printCounts(out, countSizes(source), docs)
	if len(findings) > 0 {
		return fmt.Errorf("%d findings", len(findings))
	}
	return nil
}

// printSkipPattern prints the pattern for go test -skip.
func printSkipPattern(root string, out io.Writer) error {
	entries, err := readKnownRed(root)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, skipPattern(entries))
	return nil
}
