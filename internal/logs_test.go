package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

var logLevels = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error"}

// logLine is a line that the program may log, or a row of docs/operators/logs.md.
type logLine struct{ level, text, keys string }

// logLinesOf returns the log lines in a source file: the calls of a slog method
// on a variable or field named log or Log.
func logLinesOf(t *testing.T, file string) (lines []logLine) {
	t.Helper()
	fset := token.NewFileSet()
	parsed, err := parser.ParseFile(fset, file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !isLogger(method.X) {
			return true
		}
		args, level := call.Args, logLevels[method.Sel.Name]
		if method.Sel.Name == "Log" && len(args) > 2 { // Log(ctx, level, text, ...)
			args, level = args[2:], "info or debug"
		}
		if level == "" {
			return true
		}
		text, ok := stringLiteral(args[0])
		if !ok {
			t.Errorf("%s: a log line's text is not constant", fset.Position(call.Pos()))
			return true
		}
		lines = append(lines, logLine{level, text, logKeysOf(t, fset, args[1:])})
		return true
	})
	return lines
}

func isLogger(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return strings.EqualFold(x.Name, "log")
	case *ast.SelectorExpr:
		return strings.EqualFold(x.Sel.Name, "log")
	}
	return false
}

func stringLiteral(x ast.Expr) (string, bool) {
	lit, ok := x.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(lit.Value)
	return s, err == nil
}

var keyStyle = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)

func logKeysOf(t *testing.T, fset *token.FileSet, args []ast.Expr) string {
	t.Helper()
	var keys []string
	for i := 0; i < len(args); i += 2 {
		key, ok := stringLiteral(args[i])
		if !ok || !keyStyle.MatchString(key) {
			t.Errorf("%s: the key %q is not a constant in snake case", fset.Position(args[i].Pos()), key)
		}
		keys = append(keys, "`"+key+"`")
	}
	return strings.Join(keys, ", ")
}

var logRow = regexp.MustCompile("(?m)^\\| (debug|info|warn|error|info or debug) \\| `([^`]+)` \\| ([^|]*?) ?\\| [^|\\n]+ \\| (?:unchanged|`[^`]+`) \\|$")

// TestLogLinesAreListed checks that docs/operators/logs.md lists exactly the
// lines that the program logs, with their levels and keys.
func TestLogLinesAreListed(t *testing.T) {
	listed := map[logLine]bool{}
	for _, m := range logRow.FindAllStringSubmatch(read(t, "../docs/operators/logs.md"), -1) {
		listed[logLine{m[1], m[2], m[3]}] = false
	}
	eachSource(t, func(pkg, file string) {
		if within(pkg, simulations) {
			return
		}
		for _, l := range logLinesOf(t, file) {
			if _, ok := listed[l]; !ok {
				t.Errorf("%s: docs/operators/logs.md lacks the row | %s | `%s` | %s |", file, l.level, l.text, l.keys)
			}
			listed[l] = true
		}
	})
	for l, found := range listed {
		if !found {
			t.Errorf("docs/operators/logs.md lists a line that the program does not log: | %s | `%s` | %s |", l.level, l.text, l.keys)
		}
	}
	if len(listed) < 50 {
		t.Errorf("only %d log lines are listed", len(listed))
	}
}

var (
	citedLine   = regexp.MustCompile("\\b(debug|info|warn|error)(?: lines?)? ((?:`[^`]+`(?:, |; | and )?)+)")
	citedMetric = regexp.MustCompile(`\bpoppypass_[a-z_]+`)
)

// TestCitedLinesAndMetricsExist checks that the log lines and metrics which the
// operators' pages cite exist.
func TestCitedLinesAndMetricsExist(t *testing.T) {
	levels := map[string]string{}
	for _, m := range logRow.FindAllStringSubmatch(read(t, "../docs/operators/logs.md"), -1) {
		levels[m[2]] += " " + m[1]
	}
	metrics := "\n" + read(t, "platform/metrics/testdata/formats/metrics.golden")
	lines := 0
	for _, page := range []string{"runbook.md", "operations.md", "budgets.md", "graphs.md"} {
		text := read(t, "../docs/operators/"+page)
		for _, cited := range citedLine.FindAllStringSubmatch(text, -1) {
			for _, m := range codeSpan.FindAllStringSubmatch(cited[2], -1) {
				lines++
				if !strings.Contains(levels[m[1]], cited[1]) {
					t.Errorf("%s: the program has no %s log line %q", page, cited[1], m[1])
				}
			}
		}
		for _, name := range citedMetric.FindAllString(text, -1) {
			if !strings.Contains(metrics, "\n"+name+"{") {
				t.Errorf("%s: there is no metric %s", page, name)
			}
		}
	}
	if lines < 30 {
		t.Errorf("only %d log lines are cited", lines)
	}
}
