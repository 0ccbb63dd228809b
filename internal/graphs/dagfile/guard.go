package dagfile

import (
	"fmt"
	"reflect"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxRepeat bounds what s * n may make of a string or list, in bytes or elements.
const maxRepeat = 1 << 20

const mulBuiltin = "__mul"

// guardProducts replaces each x * y by a call that looks at the sizes first: a string times a number
// could make a gigabyte in one step, before anybody can end it. x + y at most
// doubles what is there, which the look at the heap finds.
func guardProducts(f *syntax.File) error {
	var err error
	for _, stmt := range f.Stmts {
		rewrite(reflect.ValueOf(stmt), &err)
	}
	return err
}

var exprType = reflect.TypeFor[syntax.Expr]()

// rewrite replaces expressions in all fields of a node, and below.
func rewrite(v reflect.Value, err *error) {
	switch v.Kind() {
	case reflect.Interface, reflect.Pointer:
		if !v.IsNil() {
			rewrite(v.Elem(), err)
		}
	case reflect.Slice:
		for i := range v.Len() {
			rewrite(v.Index(i), err)
			replaceProduct(v.Index(i))
		}
	case reflect.Struct:
		if v.CanAddr() {
			if a, ok := v.Addr().Interface().(*syntax.AssignStmt); ok && a.Op == syntax.STAR_EQ {
				x, plain := a.LHS.(*syntax.Ident)
				if !plain {
					*err = syntax.Error{Pos: a.OpPos, Msg: "x *= y is only allowed for a plain name x"}
					return
				}
				a.Op, a.RHS = syntax.EQ, &syntax.BinaryExpr{X: &syntax.Ident{NamePos: x.NamePos, Name: x.Name}, OpPos: a.OpPos, Op: syntax.STAR, Y: a.RHS}
			}
		}
		for i := range v.NumField() {
			field := v.Field(i)
			if !field.CanSet() || !holdsNodes(v.Type().Field(i).Type) {
				continue
			}
			rewrite(field, err)
			replaceProduct(field)
		}
	}
}

// holdsNodes reports whether a field can hold nodes: positions, tokens and what the resolver
// adds cannot.
func holdsNodes(t reflect.Type) bool {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t.Kind() == reflect.Interface && t.NumMethod() > 0 || t.Kind() == reflect.Pointer && t.Elem().Kind() == reflect.Struct
}

// replaceProduct puts the call in place of a product.
func replaceProduct(v reflect.Value) {
	if !v.CanSet() || v.Type() != exprType || v.IsNil() {
		return
	}
	b, ok := v.Interface().(*syntax.BinaryExpr)
	if !ok || b.Op != syntax.STAR {
		return
	}
	v.Set(reflect.ValueOf(&syntax.CallExpr{
		Fn: &syntax.Ident{NamePos: b.OpPos, Name: mulBuiltin}, Lparen: b.OpPos, Rparen: b.OpPos, Args: []syntax.Expr{b.X, b.Y},
	}))
}

// mul is x * y, if what it makes is not too large.
func mul(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
	x, y := args[0], args[1]
	n, ok := x.(starlark.Int)
	seq := y
	if !ok {
		n, ok = y.(starlark.Int)
		seq = x
	}
	if size := starlark.Len(seq); ok && size > 0 {
		if times, fits := n.Int64(); !fits || times > 0 && times > maxRepeat/int64(size) {
			return nil, fmt.Errorf("%s * %v is too long; up to %d are allowed", seq.Type(), n, maxRepeat)
		}
	}
	if a, ok := x.(starlark.Int); ok {
		if b, ok := y.(starlark.Int); ok && a.BigInt().BitLen()+b.BigInt().BitLen() > 1<<16 {
			return nil, fmt.Errorf("the product is too large")
		}
	}
	return starlark.Binary(syntax.STAR, x, y)
}
