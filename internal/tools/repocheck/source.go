package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Source is the parsed Go source of a repository.
type Source struct {
	Files []*File
	set   *token.FileSet
}

// File is one parsed Go file.
type File struct {
	Path   string // relative to the root of the repository
	Syntax *ast.File
	Test   bool
}

// loadSource parses every Go file below root, whatever its build tags are.
func loadSource(root string) (*Source, error) {
	source := &Source{set: token.NewFileSet()}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != root && ignoredFolder(entry.Name()) {
			return filepath.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		return source.add(root, path)
	})
	return source, err
}

// ignoredFolder tells whether the go command ignores a folder of this name, too.
func ignoredFolder(name string) bool {
	return strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_") || name == "testdata"
}

// add parses one file.
func (s *Source) add(root, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	relative, err := filepath.Rel(root, path)
	if err != nil {
		return err
	}
	syntax, err := parser.ParseFile(s.set, relative, text, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	s.Files = append(s.Files, &File{
		Path:   filepath.ToSlash(relative),
		Syntax: syntax,
		Test:   strings.HasSuffix(path, "_test.go"),
	})
	return nil
}

// Folder is the folder of the file's package.
func (f *File) Folder() string { return filepath.ToSlash(filepath.Dir(f.Path)) }

// line is the line of a position in its file.
func (s *Source) line(pos token.Pos) int { return s.set.Position(pos).Line }
