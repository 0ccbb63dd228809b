package statement

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"poppypass/internal/accounting/ledger"
	"poppypass/internal/platform/golden"
)

// allFields is a template that uses every field and function. Operators use these names in their own
// templates, and docs/operators/budgets.md lists them. The names must therefore not change, although
// the fields have no tags.
const allFields = `{{.Team}} {{.From}} {{.To}} {{.Zone}} {{.Made}} {{.Currency}}
{{range .Rows}}{{template "total" .}}{{end}}{{range .Accounts}}{{template "total" .}}{{end}}{{template "total" .Sum}}
{{define "total"}}{{.Day}} {{.Team}} {{.Account}} {{.Class}} {{.Type}} {{.Spot}} {{.Attempts}} {{.Ends}}
{{.CoreHours}} {{.GPUHours}} {{.MemoryGBH}} {{.Money}} {{.CoreMicroS}} {{.MoneyMicro}} {{.RunMS}}
{{hours .CoreHours}} {{money .Money}} {{pad 10 .Class}}|{{right 10 .Class}} {{or1 .Account "none"}}
{{end}}`

func fullBill() *Bill {
	bill := golden.Fill(new(Bill))
	spot := true
	for _, total := range []*ledger.Total{&bill.Rows[0], &bill.Rows[1], &bill.Accounts[0], &bill.Accounts[1], &bill.Sum} {
		total.Spot = &spot
	}
	return bill
}

func TestTemplateFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "own.tmpl")
	if err := os.WriteFile(path, []byte(allFields), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		path string
		html bool
	}{
		{"own-template", path, false},
		{"default-text", "", false},
		{"default-page", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := Render(&out, fullBill(), c.path, c.html); err != nil {
				t.Fatal(err)
			}
			golden.Check(t, c.name, out.Bytes())
		})
	}
}
