package dagfile

import (
	"errors"
	"fmt"
	"strings"

	starjson "go.starlark.net/lib/json"
	"go.starlark.net/starlark"

	"poppypass/internal/graphs/dag"
)

// loader collects the DAGs that a file describes, in the order of the file.
type loader struct {
	dags []*dagValue
}

// predeclared returns the names that a file may use in addition to Starlark's own.
func (l *loader) predeclared() starlark.StringDict {
	names := starlark.StringDict{mulBuiltin: starlark.NewBuiltin("*", mul)}
	builtin := func(name string, fn func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error)) {
		names[name] = starlark.NewBuiltin(name, fn)
	}
	builtin("DAG", l.newDAG)
	for name, kind := range map[string]dag.Kind{"JobOperator": dag.KindJob, "BranchJobOperator": dag.KindBranch, "EmptyOperator": dag.KindEmpty} {
		names[name] = &operator{loader: l, name: name, kind: kind}
	}
	builtin("chain", chain)
	builtin("timedelta", timedelta)
	builtin("datetime", datetime)
	builtin("range", boundedRange)
	rules := starlark.StringDict{}
	for _, r := range dag.Rules() {
		rules[strings.ToUpper(r)] = starlark.String(r)
	}
	names["TriggerRule"] = &namespace{name: "TriggerRule", attrs: rules}
	names["json"] = starjson.Module
	return names
}

// namespace is a value whose attributes are constants.
type namespace struct {
	fixedValue
	name  string
	attrs starlark.StringDict
}

func (n *namespace) String() string                           { return n.name }
func (n *namespace) Type() string                             { return n.name }
func (n *namespace) Hash() (uint32, error)                    { return 0, errors.New("unhashable") }
func (n *namespace) Attr(name string) (starlark.Value, error) { return n.attrs[name], nil }
func (n *namespace) AttrNames() []string                      { return n.attrs.Keys() }

// boundedRange implements range(...), with at most maxRange elements.
func boundedRange(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	v, err := starlark.Call(t, starlark.Universe["range"], args, kwargs)
	if err == nil && starlark.Len(v) > maxRange {
		return nil, fmt.Errorf("range has %d elements; up to %d are allowed", starlark.Len(v), maxRange)
	}
	return v, err
}
