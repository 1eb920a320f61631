package cmd

import (
	"github.com/spf13/cobra"

	"cactusstream.example/core/settings"
)

func newSettingsDiffCmd(ap *app) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE | diff VERSION [VERSION]",
		Short: "Print the difference to a file or between two versions",
		Long:  "Diff compares the newest tree with a file, a version with the newest one, or two versions.",
		Example: `  cactusctl settings diff tree.ini
  cactusctl settings diff 3
  cactusctl settings diff 3 7`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(com *cobra.Command, args []string) error {
			cli, err := ap.client()
			if err != nil {
				return err
			}
			to, _, err := fetchTree(ap, cli, 0)
			if err != nil {
				return err
			}
			from := to
			version, versionErr := parseVersion(args[0])
			if versionErr != nil && len(args) == 1 {
				if to, err = readTree(args[0], from); err != nil {
					return err
				}
				return printEdits(ap, com, from, to)
			}
			if versionErr != nil {
				return versionErr
			}
			if from, _, err = fetchTree(ap, cli, version); err != nil {
				return err
			}
			if len(args) == 2 {
				if version, err = parseVersion(args[1]); err != nil {
					return err
				}
				if to, _, err = fetchTree(ap, cli, version); err != nil {
					return err
				}
			}
			return printEdits(ap, com, from, to)
		},
	}
}

// printEdits prints the difference between two trees, as JSON or as a diff.
func printEdits(ap *app, com *cobra.Command, from, to *settings.Tree) error {
	edits := settings.Diff(from, to)
	if ap.output == "json" {
		for i := range edits {
			edits[i] = hideSecret(edits[i])
		}
		return printJSON(com.OutOrStdout(), toAPIEdits(edits))
	}
	printDiff(com.OutOrStdout(), from, edits)
	return nil
}
