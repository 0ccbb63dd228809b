// Package statement renders bills, which list what a team and its accounts used in a period. A
// bill is text, or an HTML page without external resources. The template is the default one or
// the operator's own.
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

// Bill is the data of a template. Operators use its field names in their own templates, so the
// names must not change.
type Bill struct {
	Team     string
	From, To string    // the first and the last day; empty: no bound
	Zone     string    // the time zone whose midnight begins a day
	Made     time.Time // the time of rendering
	Currency string
	Rows     []ledger.Total // by account, class and machine type
	Accounts []ledger.Total // sums by account
	Sum      ledger.Total   // of all rows
}

// TemplateError means that a template cannot be read, parsed or executed.
type TemplateError struct {
	Err error
}

// Error returns the cause in one line.
func (e *TemplateError) Error() string {
	return "template: " + strings.ReplaceAll(e.Err.Error(), "\n", " ")
}

// Unwrap returns the cause.
func (e *TemplateError) Unwrap() error { return e.Err }

// Render writes a bill as an HTML page or as text. path is that of the operator's own template, or
// empty for the default one. The error is a *TemplateError.
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

// templateText returns the name and the text of the template at a path, or of the default template
// if the path is empty.
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

// template is the common interface of text and HTML templates.
type template interface {
	Execute(w io.Writer, data any) error
}

// parse parses a template. An HTML template escapes the data: users choose the names of accounts
// and classes.
func parse(name, text string, html bool) (template, error) {
	if html {
		return htmltemplate.New(name).Funcs(functions).Option("missingkey=error").Parse(text)
	}
	return texttemplate.New(name).Funcs(functions).Option("missingkey=error").Parse(text)
}

// functions are the functions that templates can call. Operators use these names in their own
// templates.
var functions = map[string]any{
	"hours": func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"money": func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"pad":   func(n int, s string) string { return fmt.Sprintf("%-*s", n, s) },
	"right": func(n int, s string) string { return fmt.Sprintf("%*s", n, s) },
	"or1":   func(s, fallback string) string { return cmp.Or(s, fallback) },
}
