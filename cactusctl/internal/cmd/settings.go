package cmd

import (
	"fmt"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	gensettings "cactusstream.example/core/gen/settings"

	"cactusstream.example/cactusctl/internal/client"
	"cactusstream.example/core/process"
	"cactusstream.example/core/settings"
)

func newSettingsCmd(ap *app) *cobra.Command {
	com := &cobra.Command{
		Use:   "settings",
		Short: "Edit and explain the settings tree",
		Long: `Settings form a tree with the levels root, firm, place, service and kind of
request. A node inherits the keys that it does not set. docs/settings.md lists all
keys.`,
	}
	com.AddCommand(
		newSettingsApplyCmd(ap), newSettingsCheckCmd(), newSettingsDiffCmd(ap), newSettingsExplainCmd(ap), newSettingsExportCmd(ap),
		newSettingsGetCmd(ap), newSettingsKeysCmd(), newSettingsLogCmd(ap), newSettingsSetCmd(ap), newSettingsUnsetCmd(ap),
	)
	return com
}

// readTree reads and validates a tree from a file. Keys that are missing from its root
// are copied from base, since the root must set every key.
func readTree(path string, base *settings.Tree) (*settings.Tree, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	tree, err := settings.ParseINI(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	root := make(settings.Node)
	for key, value := range base.Nodes[settings.RootSection] {
		root[key] = value
	}
	for key, value := range tree.Nodes[settings.RootSection] {
		root[key] = value
	}
	tree.Nodes[settings.RootSection] = root
	if faults := tree.Validate(); len(faults) > 0 {
		return nil, &process.ExitError{Code: process.ExitUsage, Err: faultsError{path: path, faults: faults}}
	}
	return tree, nil
}

// faultsError reports all faults in a settings file.
type faultsError struct {
	path   string
	faults []string
}

// Error lists the faults, one per line.
func (fa faultsError) Error() string {
	text := fmt.Sprintf("%s: %d faults", fa.path, len(fa.faults))
	for _, fault := range fa.faults {
		text += "\n  " + fault
	}
	return text
}

// fetchTree returns the tree of a version and its version number. Version 0 requests
// the newest one.
func fetchTree(ap *app, cli *client.Client, version uint64) (*settings.Tree, uint64, error) {
	ctx, cancel := ap.context()
	defer cancel()
	res, err := cli.Tree(ctx, version)
	if err != nil {
		return nil, 0, err
	}
	tree, err := settings.ParseINI([]byte(res.Ini))
	if err != nil {
		return nil, 0, fmt.Errorf("parse the tree from the keepers: %w", err)
	}
	return tree, res.Version, nil
}

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &process.ExitError{Code: process.ExitUsage, Err: fmt.Errorf("version %q: want a whole number", text)}
	}
	return version, nil
}

// toAPIEdits converts edits to the form in which the keepers receive them.
func toAPIEdits(edits []settings.Edit) []*gensettings.Edit {
	converted := make([]*gensettings.Edit, 0, len(edits))
	for _, edit := range edits {
		item := &gensettings.Edit{Path: edit.Path, Key: edit.Key, Unset: edit.Unset}
		if !edit.Unset {
			item.Value = &edit.Value
		}
		converted = append(converted, item)
	}
	return converted
}
