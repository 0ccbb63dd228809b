// Package statement renders bills: what a team and its accounts took in a period,
// from the operator's own template or the default one, as text or as an HTML page
// that needs nothing else.
package statement

import (
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

// Bill is what a template is given.
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

// Render writes a bill. path names the operator's own template; empty: the default
// one. An error says in one line what is wrong with a template.
func Render(w io.Writer, b *Bill, path string, html bool) error {
	name, text := "default", defaultText
	if html {
		text = defaultHTML
	}
	if path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("template: %w", err)
		}
		name, text = path, string(raw)
	}
	funcs := map[string]any{
		"hours": func(v float64) string { return fmt.Sprintf("%.3f", v) },
		"money": func(v float64) string { return fmt.Sprintf("%.2f", v) },
		"pad":   func(n int, s string) string { return fmt.Sprintf("%-*s", n, s) },
		"right": func(n int, s string) string { return fmt.Sprintf("%*s", n, s) },
		"or1":   func(s, other string) string { return orElse(s, other) },
	}
	if html {
		t, err := htmltemplate.New(name).Funcs(funcs).Option("missingkey=error").Parse(text)
		if err != nil {
			return templateError(err)
		}
		return templateError(t.Execute(w, b))
	}
	t, err := texttemplate.New(name).Funcs(funcs).Option("missingkey=error").Parse(text)
	if err != nil {
		return templateError(err)
	}
	return templateError(t.Execute(w, b))
}

func orElse(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

func templateError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("template: %s", strings.ReplaceAll(err.Error(), "\n", " "))
}
