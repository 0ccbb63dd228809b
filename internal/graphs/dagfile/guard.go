package dagfile

import (
	"errors"
	"fmt"
	"reflect"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

const (
	maxRepeat      = 1 << 20 // maximum length of a repeated string (bytes) or sequence (elements)
	maxProductBits = 1 << 16 // maximum size of a product of integers, in bits
)

// mulBuiltin is the predeclared name of mul, which rewritten products call.
const mulBuiltin = "__mul"

// guardProducts replaces each x * y by a call of mul, which checks the size of the result
// first: a string times a number could allocate a gigabyte in one execution step, before watch
// can cancel the file. x + y needs no such check, because it at most doubles what is allocated
// already, which watch notices.
func guardProducts(file *syntax.File) error {
	var err error
	for _, stmt := range file.Stmts {
		rewrite(reflect.ValueOf(stmt), &err)
	}
	return err
}

var exprType = reflect.TypeFor[syntax.Expr]()

// rewrite replaces the products in all fields of a syntax node and of the nodes below it. If
// it finds assignments that are not allowed, it sets err to the error of the last of them.
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

// expandStarAssign changes a node v of the form x *= y to x = x * y, so that rewrite finds the
// product. If x is not a plain name, that is an error, since x would be evaluated twice.
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

// canContainNodes reports whether a field of this type can contain syntax nodes. Positions,
// tokens and the fields that the resolver sets cannot.
func canContainNodes(fieldType reflect.Type) bool {
	if fieldType.Kind() == reflect.Slice {
		fieldType = fieldType.Elem()
	}
	return fieldType.Kind() == reflect.Interface && fieldType.NumMethod() > 0 || fieldType.Kind() == reflect.Pointer && fieldType.Elem().Kind() == reflect.Struct
}

// replaceProduct replaces an expression that is a product by a call of mul.
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

// mul returns x * y, or an error if the result would be too large.
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

// checkRepeat returns an error if x * y is a string or other sequence times a number, in either order, and the result
// would be longer than maxRepeat.
func checkRepeat(x, y starlark.Value) error {
	count, ok := x.(starlark.Int)
	seq := y
	if !ok {
		count, ok = y.(starlark.Int)
		seq = x
	}
	size := starlark.Len(seq)
	if !ok || size <= 0 {
		return nil
	}
	if times, fits := count.Int64(); !fits || times > 0 && times > maxRepeat/int64(size) {
		return fmt.Errorf("%s * %v is too long; up to %d are allowed", seq.Type(), count, maxRepeat)
	}
	return nil
}

// checkProduct returns an error if x * y is a product of integers that could have more than maxProductBits bits.
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
