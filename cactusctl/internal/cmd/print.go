package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// printTable writes a header and rows in aligned columns.
func printTable(out io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// print writes a value as JSON or its rows as a table, depending on the flag --output.
func (ap *app) print(out io.Writer, value any, header []string, rows [][]string) error {
	if ap.output == "json" {
		return printJSON(out, value)
	}
	return printTable(out, header, rows)
}
