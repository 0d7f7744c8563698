package main

import (
	"go/ast"
	"slices"
	"strings"
)

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
