package statement

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"poppypass/internal/accounting/ledger"
)

// newBill returns a bill for an account whose name must be escaped in HTML.
func newBill() *Bill {
	return &Bill{
		Team: "payouts", From: "2026-11-01", To: "2026-11-30", Zone: "UTC", Currency: "USD",
		Rows:     []ledger.Total{{Account: "<owner>", Class: "settlement", Type: "mid-16", Attempts: 3, CoreHours: 1.5, Money: 2.345}},
		Accounts: []ledger.Total{{Account: "<owner>", Attempts: 3, CoreHours: 1.5, Money: 2.345}},
		Sum:      ledger.Total{Attempts: 3, CoreHours: 1.5, Money: 2.345},
	}
}

func render(path string, html bool) (string, error) {
	var out bytes.Buffer
	err := Render(&out, newBill(), path, html)
	return out.String(), err
}

// writeTemplate writes an operator's own template to a file and returns the path.
func writeTemplate(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "own.tmpl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestDefaultTextShowsAccountsAndRoundedAmounts(t *testing.T) {
	text, err := render("", false)
	if err != nil || !strings.Contains(text, "<owner>") || !strings.Contains(text, "1.500") || !strings.Contains(text, "2.35") && !strings.Contains(text, "2.34") {
		t.Errorf("error %v, rendered text:\n%s", err, text)
	}
}

// The account's name is chosen by the user who submits a job. The name must not become markup of the page.
func TestDefaultPageEscapesAccountsAndLinksNoResources(t *testing.T) {
	page, err := render("", true)
	if err != nil || strings.Contains(page, "<owner>") || !strings.Contains(page, "&lt;owner&gt;") || strings.Contains(page, "http") {
		t.Errorf("error %v, rendered page:\n%s", err, page)
	}
}

func TestOwnTemplateReplacesTheDefault(t *testing.T) {
	text, err := render(writeTemplate(t, `{{.Team}} owes {{money .Sum.Money}} {{.Currency}}`), false)
	if err != nil || !strings.HasPrefix(text, "payouts owes 2.3") {
		t.Errorf("own template rendered as %q, error %v", text, err)
	}
}

func TestInvalidTemplateErrorIsOneLineWithThePath(t *testing.T) {
	for _, text := range []string{"{{.Nothing}}", "{{", "{{range .Rows}}"} {
		for name, html := range map[string]bool{"text": false, "page": true} {
			t.Run(name+" "+text, func(t *testing.T) {
				path := writeTemplate(t, text)
				_, err := render(path, html)
				if err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), path) {
					t.Errorf("got error %v", err)
				}
				var templateErr *TemplateError
				if !errors.As(err, &templateErr) {
					t.Errorf("got an error of type %T, want *TemplateError", err)
				}
			})
		}
	}
}

func TestMissingTemplateIsATemplateError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "missing.tmpl")
	_, err := render(path, false)
	var templateErr *TemplateError
	if !errors.As(err, &templateErr) || !errors.Is(err, fs.ErrNotExist) || err.Error() != "template: open "+path+": no such file or directory" {
		t.Errorf("got error %v", err)
	}
}
