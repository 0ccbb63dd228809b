package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// printer prints the result of a command in the format that --output selects.
type printer struct{ output string }

func (p *printer) addFlags(c *cobra.Command) {
	c.PersistentFlags().StringVar(&p.output, "output", "table", "table, json or csv")
}

// print writes v as JSON, rows as CSV, or table as a table for people.
func (p *printer) print(w io.Writer, v any, rows [][]string, table [][]string) error {
	switch p.output {
	case "json":
		return printJSON(w, v)
	case "csv":
		return csv.NewWriter(w).WriteAll(rows)
	case "table":
		return printTable(w, table)
	}
	return fmt.Errorf("--output is %q; it can be table, json or csv", p.output)
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(v)
}

func printTable(w io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}
