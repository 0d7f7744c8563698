package main

import (
	"fmt"
	"go/ast"
	"io"
)

// What the counts call long.
const (
	longFunction = 60  // lines, from the func line to the closing brace
	longFile     = 500 // lines
)

// sizes are counts of the source outside tests.
type sizes struct {
	packages      int // folders with Go files
	longFunctions int
	longFiles     int
	bareMaps      int // map[string]any
}

// countSizes counts what is reported of the source and fails nothing.
func countSizes(source *Source) sizes {
	counts := sizes{}
	folders := map[string]bool{}
	for _, file := range source.Files {
		folders[file.Folder()] = true
		if file.Test || ast.IsGenerated(file.Syntax) {
			continue
		}
		counts.add(source, file)
	}
	counts.packages = len(folders)
	return counts
}

// add counts one file.
func (c *sizes) add(source *Source, file *File) {
	if source.set.File(file.Syntax.FileStart).LineCount() > longFile {
		c.longFiles++
	}
	ast.Inspect(file.Syntax, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			if source.line(node.End())-source.line(node.Pos())+1 > longFunction {
				c.longFunctions++
			}
		case *ast.MapType:
			if isBareMap(node) {
				c.bareMaps++
			}
		}
		return true
	})
}

// isBareMap tells whether a type is map[string]any, in either spelling of any.
func isBareMap(node *ast.MapType) bool {
	key, named := node.Key.(*ast.Ident)
	if !named || key.Name != "string" {
		return false
	}
	switch value := node.Value.(type) {
	case *ast.Ident:
		return value.Name == "any"
	case *ast.InterfaceType:
		return len(value.Methods.List) == 0
	default:
		return false
	}
}

// printCounts prints one count a line.
func printCounts(out io.Writer, counts sizes, docs docReport) {
	fmt.Fprintf(out, "packages: %d\n", counts.packages)
	fmt.Fprintf(out, "functions over %d lines, outside tests: %d\n", longFunction, counts.longFunctions)
	fmt.Fprintf(out, "files over %d lines, outside tests: %d\n", longFile, counts.longFiles)
	fmt.Fprintf(out, "bare maps (map[string]any), outside tests: %d\n", counts.bareMaps)
	fmt.Fprintf(out, "exported names without doc comment: %d of %d\n", docs.undocumented, docs.exported)
}
