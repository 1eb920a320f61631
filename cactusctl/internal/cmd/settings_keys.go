package cmd

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"cactusstream.example/core/settings"
)

func newSettingsKeysCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "keys",
		Short:   "Print a table of all keys as Markdown",
		Long:    "Keys prints the page docs/settings.md, which lists the unit, range, default, levels and meaning of every key.",
		Example: "  cactusctl settings keys > docs/settings.md",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			WriteKeys(com.OutOrStdout())
			return nil
		},
	}
}

// WriteKeys writes the page docs/settings.md.
func WriteKeys(out io.Writer) {
	fmt.Fprint(out, "# Settings\n\nWritten by `cactusctl settings keys`; `make generate` renews it. "+
		"A key that a node does not set is inherited; see docs/operators.md.\n\n"+
		"| key | unit | range | default | levels | meaning |\n|---|---|---|---|---|---|\n")
	for _, key := range settings.Keys() {
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s |\n", key.Name, key.Unit, key.Range, defaultText(key), levelsText(key), key.Text)
	}
}

func defaultText(key settings.Key) string {
	if key.Default == "" {
		return "(none)"
	}
	return key.Default
}

// levelsText describes the levels at which a key may be set.
func levelsText(key settings.Key) string {
	switch {
	case key.Lowest == settings.LevelRoot:
		return "root"
	case key.Lowest == settings.LevelFirm && key.Highest == settings.LevelFirm:
		return "firm"
	case key.Highest == settings.LevelKind:
		return "kind"
	}
	return fmt.Sprintf("root, %s to %s", key.Highest, key.Lowest)
}
