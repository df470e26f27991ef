// Package docs_test checks the pages of this folder against the code.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// parseCode parses the Go files without tests below the given folders of the repository.
func parseCode(t *testing.T, folders ...string) []*ast.File {
	t.Helper()
	var files []*ast.File
	for _, folder := range folders {
		err := filepath.WalkDir(filepath.Join("..", folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			files = append(files, file)
			return err
		})
		assert.NilError(t, err)
	}
	return files
}

// stringLiterals returns the string literals among the expressions.
func stringLiterals(expressions []ast.Expr) []string {
	var found []string
	for _, expression := range expressions {
		if literal, ok := expression.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				found = append(found, text)
			}
		}
	}
	return found
}

// Guards against log lines that an operator meets and can't look up.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	assert.NilError(t, err)
	events := 0
	for _, file := range parseCode(t, "internal", "platform", "cmd") {
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			function, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || function.Sel.Name != "InfoS" && function.Sel.Name != "ErrorS" {
				return true
			}
			if texts := stringLiterals(call.Args); len(texts) > 0 {
				events++
				assert.Check(t, strings.Contains(string(page), "`"+texts[0]+"`"), "event %q", texts[0])
			}
			return true
		})
	}
	assert.Assert(t, events > 30, "only %d events were found in the code", events)
}

// Guards against reasons that a caller meets and can't look up.
func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("callers.md")
	assert.NilError(t, err)
	reasons := 0
	for _, file := range parseCode(t, "internal/failure") {
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if !ok {
				return true
			}
			if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Reason" {
				return true
			}
			for _, reason := range stringLiterals(spec.Values) {
				reasons++
				assert.Check(t, strings.Contains(string(page), "`"+reason+"`"), "reason %q", reason)
			}
			return true
		})
	}
	assert.Assert(t, reasons > 30, "only %d reasons were found in the code", reasons)
}
