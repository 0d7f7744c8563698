package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"slices"
)

// docReport is the result of the check of doc comments.
type docReport struct {
	exported     int // exported names that need a doc comment
	undocumented int // those without
	findings     []string
}

// checkDocs finds packages and exported names without a doc comment. Test files and generated files are left out.
func checkDocs(source *Source) docReport {
	report := docReport{}
	packageDocs := map[string]bool{}
	for _, file := range source.Files {
		if file.Test || ast.IsGenerated(file.Syntax) {
			continue
		}
		packageDocs[file.Folder()] = packageDocs[file.Folder()] || file.Syntax.Doc != nil
		for _, declaration := range file.Syntax.Decls {
			report.checkDeclaration(source, declaration)
		}
	}
	for folder, documented := range packageDocs {
		if !documented {
			report.findings = append(report.findings, folder+": the package has no package comment")
		}
	}
	slices.Sort(report.findings)
	return report
}

// checkDeclaration checks the names that one top-level declaration introduces.
func (r *docReport) checkDeclaration(source *Source, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Recv == nil || receiverExported(declaration.Recv) {
			r.checkName(source, declaration.Name, declaration.Doc)
		}
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			r.checkSpec(source, declaration, spec)
		}
	}
}

// checkSpec checks the names of one type, constant or variable specification.
func (r *docReport) checkSpec(source *Source, declaration *ast.GenDecl, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		if declaration.Lparen == token.NoPos {
			r.checkName(source, spec.Name, spec.Doc, declaration.Doc)
		} else {
			r.checkName(source, spec.Name, spec.Doc, spec.Comment)
		}
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			r.checkName(source, name, spec.Doc, spec.Comment, declaration.Doc)
		}
	}
}

// checkName reports an exported name that none of the comments describes.
func (r *docReport) checkName(source *Source, name *ast.Ident, comments ...*ast.CommentGroup) {
	if !name.IsExported() {
		return
	}
	r.exported++
	described := func(comment *ast.CommentGroup) bool { return comment != nil }
	if slices.ContainsFunc(comments, described) {
		return
	}
	r.undocumented++
	r.findings = append(r.findings, fmt.Sprintf("%s: %s has no doc comment", source.set.Position(name.Pos()), name.Name))
}

// receiverExported tells whether the type of a method's receiver is exported.
func receiverExported(receiver *ast.FieldList) bool {
	expression := receiver.List[0].Type
	for {
		switch e := expression.(type) {
		case *ast.StarExpr:
			expression = e.X
		case *ast.ParenExpr:
			expression = e.X
		case *ast.IndexExpr:
			expression = e.X
		case *ast.IndexListExpr:
			expression = e.X
		case *ast.Ident:
			return e.IsExported()
		default:
			return false
		}
	}
}
