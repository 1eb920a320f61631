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

// printTable writes rows under a head, in columns.
func printTable(out io.Writer, head []string, rows [][]string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.ToUpper(strings.Join(head, "\t")))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// print writes a value as the flag --output says.
func (ap *app) print(out io.Writer, value any, head []string, rows [][]string) error {
	if ap.output == "json" {
		return printJSON(out, value)
	}
	return printTable(out, head, rows)
}
