// Structlit reports struct literals that put two or more fields on one line.
// With -w it rewrites them so that each field stands on a line of its own.
package main

import (
	"flag"
	"fmt"
	"go/ast"
	"go/format"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
)

func main() {
	write := flag.Bool("w", false, "rewrite the files in place")
	flag.Parse()
	found := false
	for _, root := range flag.Args() {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			n, err := check(path, *write)
			found = found || n > 0
			return err
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	if found && !*write {
		os.Exit(1)
	}
}

// check reports the offending literals of one file and returns their count.
func check(path string, write bool) (int, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, src, parser.ParseComments)
	if err != nil {
		return 0, err
	}
	breaks := map[int]string{}
	n := 0
	ast.Inspect(file, func(node ast.Node) bool {
		lit, ok := node.(*ast.CompositeLit)
		if !ok {
			return true
		}
		for _, unnamed := range positional(lit) {
			n++
			if !write {
				fmt.Printf("%s: struct literal without field names\n", fset.Position(unnamed.Pos()))
			}
			nameFields(fset, unnamed, fieldNames(lit), breaks)
		}
		if !crowded(fset, lit) {
			return true
		}
		n++
		if !write {
			fmt.Printf("%s: struct literal holds several fields on one line\n", fset.Position(lit.Pos()))
		}
		for _, elt := range lit.Elts {
			breaks[fset.Position(elt.Pos()).Offset] = "\n"
		}
		end := fset.Position(lit.Rbrace).Offset
		last := fset.Position(lit.Elts[len(lit.Elts)-1].End()).Offset
		if !strings.Contains(string(src[last:end]), ",") {
			breaks[last] = ","
		}
		breaks[end] += "\n"
		return true
	})
	if n == 0 || !write {
		return n, nil
	}
	return n, rewrite(path, src, breaks)
}

// positional returns the elements of a slice or array of an unnamed struct type
// whose fields have no names.
func positional(lit *ast.CompositeLit) []*ast.CompositeLit {
	if fieldNames(lit) == nil {
		return nil
	}
	var found []*ast.CompositeLit
	for _, elt := range lit.Elts {
		inner, ok := elt.(*ast.CompositeLit)
		if !ok || len(inner.Elts) == 0 {
			continue
		}
		if _, ok := inner.Elts[0].(*ast.KeyValueExpr); !ok {
			found = append(found, inner)
		}
	}
	return found
}

// fieldNames returns the names of the fields if lit is a slice or array of an
// unnamed struct type.
func fieldNames(lit *ast.CompositeLit) []string {
	array, ok := lit.Type.(*ast.ArrayType)
	if !ok {
		return nil
	}
	fields, ok := array.Elt.(*ast.StructType)
	if !ok {
		return nil
	}
	var names []string
	for _, field := range fields.Fields.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// nameFields adds the breaks that give the fields of a literal their names.
func nameFields(fset *token.FileSet, lit *ast.CompositeLit, names []string, breaks map[int]string) {
	for i, elt := range lit.Elts {
		breaks[fset.Position(elt.Pos()).Offset] = "\n" + names[i] + ": "
	}
	end := fset.Position(lit.Rbrace).Offset
	last := fset.Position(lit.Elts[len(lit.Elts)-1].End()).Offset
	breaks[last] = ","
	breaks[end] += "\n"
}

// crowded reports whether a keyed struct literal has two fields on one line.
func crowded(fset *token.FileSet, lit *ast.CompositeLit) bool {
	switch lit.Type.(type) {
	case *ast.MapType, *ast.ArrayType:
		return false
	}
	lines := map[int]bool{}
	for _, elt := range lit.Elts {
		kv, ok := elt.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		if _, ok := kv.Key.(*ast.Ident); !ok {
			return false
		}
		line := fset.Position(kv.Pos()).Line
		if lines[line] {
			return true
		}
		lines[line] = true
	}
	return false
}

// rewrite inserts the breaks at their offsets and formats the file.
func rewrite(path string, src []byte, breaks map[int]string) error {
	offsets := make([]int, 0, len(breaks))
	for offset := range breaks {
		offsets = append(offsets, offset)
	}
	sort.Ints(offsets)
	var out strings.Builder
	last := 0
	for _, offset := range offsets {
		out.Write(src[last:offset])
		out.WriteString(breaks[offset])
		last = offset
	}
	out.Write(src[last:])
	formatted, err := format.Source([]byte(out.String()))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, formatted, 0o644)
}
