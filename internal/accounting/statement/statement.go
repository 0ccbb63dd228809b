// Package statement renders bills: what a team and its accounts used in a period, from the
// operator's own template or the default one, as text or as an HTML page without external
// resources.
package statement

import (
	"cmp"
	_ "embed"
	"fmt"
	htmltemplate "html/template"
	"io"
	"os"
	"strings"
	texttemplate "text/template"
	"time"

	"poppypass/internal/accounting/ledger"
)

//go:embed default.txt.tmpl
var defaultText string

//go:embed default.html.tmpl
var defaultHTML string

// Bill is what a template gets. Operators use its field names in templates of their own, so
// they are a format.
type Bill struct {
	Team     string
	From, To string // the first and last day; empty: no bound
	Zone     string // in which days begin
	Made     time.Time
	Currency string
	Rows     []ledger.Total // by account, class and machine type
	Accounts []ledger.Total // the sums by account
	Sum      ledger.Total
}

// TemplateError tells that a template cannot be read, parsed or executed.
type TemplateError struct {
	Err error
}

// Error says in one line what is wrong.
func (e *TemplateError) Error() string {
	return "template: " + strings.ReplaceAll(e.Err.Error(), "\n", " ")
}

// Unwrap returns what is wrong.
func (e *TemplateError) Unwrap() error { return e.Err }

// Render writes a bill, as an HTML page or as text. path names the operator's own template;
// empty: the default one. The error is a *TemplateError.
func Render(w io.Writer, b *Bill, path string, html bool) error {
	name, text, err := templateText(path, html)
	if err != nil {
		return &TemplateError{err}
	}
	t, err := parse(name, text, html)
	if err != nil {
		return &TemplateError{err}
	}
	if err := t.Execute(w, b); err != nil {
		return &TemplateError{err}
	}
	return nil
}

// templateText returns the template at a path or, if that is empty, the default one.
func templateText(path string, html bool) (name, text string, err error) {
	switch {
	case path != "":
		raw, err := os.ReadFile(path)
		return path, string(raw), err
	case html:
		return "default", defaultHTML, nil
	}
	return "default", defaultText, nil
}

// template is what templates of text and of HTML have in common.
type template interface {
	Execute(w io.Writer, data any) error
}

// parse parses a template. One of HTML escapes what it is given: accounts and classes are
// names that users chose.
func parse(name, text string, html bool) (template, error) {
	if html {
		return htmltemplate.New(name).Funcs(functions).Option("missingkey=error").Parse(text)
	}
	return texttemplate.New(name).Funcs(functions).Option("missingkey=error").Parse(text)
}

// functions are those that templates may call. Operators use their names.
var functions = map[string]any{
	"hours": func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"money": func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"pad":   func(n int, s string) string { return fmt.Sprintf("%-*s", n, s) },
	"right": func(n int, s string) string { return fmt.Sprintf("%*s", n, s) },
	"or1":   func(s, other string) string { return cmp.Or(s, other) },
}
