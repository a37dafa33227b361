package cmds

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/internal/tree"
)

// reasonTypes are the types whose constants appear as names of counters.
var reasonTypes = map[string]bool{"Reason": true, "MissingReason": true, "RetryReason": true, "DropReason": true}

// Guards against a setting or reason that the operations page does not document.
func TestOperationsPageNamesEverySettingAndReason(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operations.md")
	is.NoErr(err)
	for _, s := range tree.Specs() {
		if !strings.Contains(string(page), "| `"+string(s.Key)+"` |") {
			t.Errorf("docs/operations.md does not list the setting %s", s.Key)
		}
	}
	for _, r := range reasonValues(t) {
		if !strings.Contains(string(page), r) {
			t.Errorf("docs/operations.md does not name the reason %s", r)
		}
	}
}

// reasonValues returns the values of all reason constants of package model.
func reasonValues(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../model/refusal.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		kind, ok := v.Type.(*ast.Ident)
		if !ok || !reasonTypes[kind.Name] {
			return true
		}
		for _, e := range v.Values {
			if literal, ok := e.(*ast.BasicLit); ok {
				text, err := strconv.Unquote(literal.Value)
				if err != nil {
					t.Fatal(err)
				}
				found = append(found, text)
			}
		}
		return true
	})
	if len(found) < 20 {
		t.Fatalf("found only %d reasons", len(found))
	}
	return found
}
