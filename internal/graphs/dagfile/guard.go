package dagfile

import (
	"errors"
	"fmt"
	"reflect"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

const (
	maxRepeat      = 1 << 20 // bytes or elements of a string or list times a number
	maxProductBits = 1 << 16 // of a product of integers
)

// mulBuiltin is the name by which rewritten products call mul.
const mulBuiltin = "__mul"

// guardProducts replaces each x * y by a call that checks the sizes first: a string times a
// number could allocate a gigabyte in one step, before watch can cancel the file. x + y at
// most doubles what is there, which watch notices.
func guardProducts(f *syntax.File) error {
	var err error
	for _, stmt := range f.Stmts {
		rewrite(reflect.ValueOf(stmt), &err)
	}
	return err
}

var exprType = reflect.TypeFor[syntax.Expr]()

// rewrite replaces the products in all fields of a node, and below. It sets err to the last
// fault that it finds.
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
		if e := expandStarAssign(v); e != nil {
			*err = e
			return
		}
		for i := range v.NumField() {
			field := v.Field(i)
			if !field.CanSet() || !canContainNodes(v.Type().Field(i).Type) {
				continue
			}
			rewrite(field, err)
			replaceProduct(field)
		}
	}
}

// expandStarAssign changes x *= y to x = x * y, if the node v is that, so that its product is
// found. For anything but a plain name x would then be evaluated twice, so it is an error.
func expandStarAssign(v reflect.Value) error {
	if !v.CanAddr() {
		return nil
	}
	assign, ok := v.Addr().Interface().(*syntax.AssignStmt)
	if !ok || assign.Op != syntax.STAR_EQ {
		return nil
	}
	x, plain := assign.LHS.(*syntax.Ident)
	if !plain {
		return syntax.Error{Pos: assign.OpPos, Msg: "x *= y is only allowed for a plain name x"}
	}
	product := &syntax.BinaryExpr{X: &syntax.Ident{NamePos: x.NamePos, Name: x.Name}, OpPos: assign.OpPos, Op: syntax.STAR, Y: assign.RHS}
	assign.Op, assign.RHS = syntax.EQ, product
	return nil
}

// canContainNodes reports whether a field can hold nodes: positions, tokens and what the resolver
// adds cannot.
func canContainNodes(fieldType reflect.Type) bool {
	if fieldType.Kind() == reflect.Slice {
		fieldType = fieldType.Elem()
	}
	return fieldType.Kind() == reflect.Interface && fieldType.NumMethod() > 0 || fieldType.Kind() == reflect.Pointer && fieldType.Elem().Kind() == reflect.Struct
}

// replaceProduct puts a call of mul in the place of an expression that is a product.
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

// mul is x * y, if the result is not too large.
func mul(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
	x, y := args[0], args[1]
	if err := checkRepeat(x, y); err != nil {
		return nil, err
	}
	if err := checkProduct(x, y); err != nil {
		return nil, err
	}
	return starlark.Binary(syntax.STAR, x, y)
}

// checkRepeat bounds the length of a sequence times a number, in either order.
func checkRepeat(x, y starlark.Value) error {
	n, ok := x.(starlark.Int)
	seq := y
	if !ok {
		n, ok = y.(starlark.Int)
		seq = x
	}
	size := starlark.Len(seq)
	if !ok || size <= 0 {
		return nil
	}
	if times, fits := n.Int64(); !fits || times > 0 && times > maxRepeat/int64(size) {
		return fmt.Errorf("%s * %v is too long; up to %d are allowed", seq.Type(), n, maxRepeat)
	}
	return nil
}

// checkProduct bounds the size of the product of two integers.
func checkProduct(x, y starlark.Value) error {
	a, ok := x.(starlark.Int)
	if !ok {
		return nil
	}
	if b, ok := y.(starlark.Int); ok && a.BigInt().BitLen()+b.BigInt().BitLen() > maxProductBits {
		return errors.New("the product is too large")
	}
	return nil
}
