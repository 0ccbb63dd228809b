package statement

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"poppypass/internal/accounting/ledger"
)

func TestRender(t *testing.T) {
	b := &Bill{
		Team: "payouts", From: "2026-11-01", To: "2026-11-30", Zone: "UTC", Currency: "USD",
		Rows:     []ledger.Total{{Account: "<owner>", Class: "settlement", Type: "mid-16", Attempts: 3, CoreHours: 1.5, Money: 2.345}},
		Accounts: []ledger.Total{{Account: "<owner>", Attempts: 3, CoreHours: 1.5, Money: 2.345}},
		Sum:      ledger.Total{Attempts: 3, CoreHours: 1.5, Money: 2.345},
	}
	own := filepath.Join(t.TempDir(), "own.tmpl")
	write := func(text string) {
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	render := func(path string, html bool) (string, error) {
		var out bytes.Buffer
		err := Render(&out, b, path, html)
		return out.String(), err
	}
	text, err := render("", false)
	if err != nil || !strings.Contains(text, "<owner>") || !strings.Contains(text, "1.500") || !strings.Contains(text, "2.35") && !strings.Contains(text, "2.34") {
		t.Errorf("text: %v\n%s", err, text)
	}
	// An account's name is what a job brought: it must not become part of the page.
	page, err := render("", true)
	if err != nil || strings.Contains(page, "<owner>") || !strings.Contains(page, "&lt;owner&gt;") || strings.Contains(page, "http") {
		t.Errorf("page: %v\n%s", err, page)
	}
	write(`{{.Team}} owes {{money .Sum.Money}} {{.Currency}}`)
	if text, err = render(own, false); err != nil || !strings.HasPrefix(text, "payouts owes 2.3") {
		t.Errorf("own template: %q, %v", text, err)
	}
	for _, bad := range []string{"{{.Nothing}}", "{{", "{{range .Rows}}"} {
		write(bad)
		for _, html := range []bool{false, true} {
			if _, err = render(own, html); err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), own) {
				t.Errorf("%q: %v", bad, err)
			}
		}
	}
}
