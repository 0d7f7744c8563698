package main

import (
	"fmt"
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// testName matches the name of a test; of a subtest TestX/y it matches the test TestX.
var testName = regexp.MustCompile(`\bTest[A-Z0-9_][A-Za-z0-9_]*`)

// testFolders lists the folders in which each test of the source is declared.
func testFolders(source *Source) map[string][]string {
	folders := map[string][]string{}
	for _, file := range source.Files {
		if !file.Test {
			continue
		}
		for _, declaration := range file.Syntax.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || function.Recv != nil || !strings.HasPrefix(function.Name.Name, "Test") {
				continue
			}
			name := function.Name.Name
			if !slices.Contains(folders[name], file.Folder()) {
				folders[name] = append(folders[name], file.Folder())
			}
		}
	}
	return folders
}

// checkAudit finds tests that the audit of the terms names and that do not exist.
func checkAudit(root string, source *Source) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, auditFile))
	if err != nil {
		return nil, err
	}
	declared := testFolders(source)
	findings := []string{}
	for i, line := range strings.Split(string(text), "\n") {
		for _, name := range testName.FindAllString(line, -1) {
			if len(declared[name]) == 0 {
				findings = append(findings, fmt.Sprintf("%s:%d: no test %s", auditFile, i+1, name))
			}
		}
	}
	return findings, nil
}
