package documenter

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
)

// Types holds the struct types of one package and their doc comments.
type Types struct {
	structs map[string]*ast.StructType
	docs    map[string]string
}

// Parse reads the struct types of the package in a folder, without its test
// files. It returns an error if the folder name is not a valid pattern or a
// file does not parse.
func Parse(folder string) (*Types, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return nil, fmt.Errorf("%s: %w: name a folder", folder, err)
	}
	t := &Types{structs: make(map[string]*ast.StructType), docs: make(map[string]string)}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return nil, fmt.Errorf("%s: %w: correct the source", path, err)
		}
		t.collect(file)
	}
	return t, nil
}

// collect adds the struct types that file declares.
func (t *Types) collect(file *ast.File) {
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range group.Specs {
			named, ok := spec.(*ast.TypeSpec)
			if !ok {
				continue
			}
			if s, ok := named.Type.(*ast.StructType); ok {
				t.structs[named.Name.Name] = s
				t.docs[named.Name.Name] = group.Doc.Text()
			}
		}
	}
}

// Tables returns one Markdown section with a table for the type root and for
// every struct type that its fields refer to, directly or indirectly, in
// breadth-first order.
func (t *Types) Tables(root string) string {
	var b strings.Builder
	queue := []string{root}
	seen := map[string]bool{}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		if seen[name] {
			continue
		}
		seen[name] = true
		queue = append(queue, t.table(&b, name)...)
	}
	return b.String()
}

// table writes the section of one type and returns the struct types of its
// fields.
func (t *Types) table(b *strings.Builder, name string) []string {
	fmt.Fprintf(b, "### %s\n\n%s\n\n| Field | Type | Needed | Meaning |\n| --- | --- | --- | --- |\n", name, oneLine(t.docs[name]))
	var nested []string
	for _, field := range t.structs[name].Fields.List {
		key, optional := jsonName(field)
		if key == "" {
			continue
		}
		fieldType := typeName(field.Type)
		if element := strings.TrimPrefix(fieldType, "list of "); t.structs[element] != nil {
			nested = append(nested, element)
		}
		needed := "yes"
		if optional {
			needed = "no"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", key, fieldType, needed, description(field))
	}
	b.WriteString("\n")
	return nested
}

// jsonName returns the JSON name of a field and whether the field is optional.
// The name is empty for a field without a JSON tag.
func jsonName(field *ast.Field) (name string, optional bool) {
	if field.Tag == nil {
		return "", false
	}
	tag, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return "", false
	}
	name, options, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
	return name, strings.HasPrefix(options, "omit")
}

// typeName describes the type of a field in terms of JSON.
func typeName(expr ast.Expr) string {
	switch e := expr.(type) {
	case *ast.ArrayType:
		return "list of " + typeName(e.Elt)
	case *ast.SelectorExpr:
		return plainName(e.Sel.Name)
	case *ast.Ident:
		return plainName(e.Name)
	default:
		return "any value"
	}
}

// plainName describes a named type in terms of JSON instead of Go.
func plainName(name string) string {
	switch name {
	case "RawMessage":
		return "any value"
	case "bool":
		return "true or false"
	case "int", "int64":
		return "whole number"
	case "float64":
		return "number"
	default:
		return name
	}
}

// description returns the doc comment of a field, or else its line comment, for
// a table cell.
func description(field *ast.Field) string {
	text := field.Doc.Text()
	if text == "" {
		text = field.Comment.Text()
	}
	return strings.ReplaceAll(oneLine(text), "|", `\|`)
}

// oneLine joins the lines of text with spaces.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
