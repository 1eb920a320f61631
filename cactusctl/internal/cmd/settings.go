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
		Short: "Edit and explain the tree of settings",
		Long: `Settings form a tree: root, firm, place, service, kind of request. A node
inherits what it does not set. docs/settings.md lists the keys.`,
	}
	com.AddCommand(
		newSettingsApplyCmd(ap), newSettingsCheckCmd(), newSettingsDiffCmd(ap), newSettingsExplainCmd(ap), newSettingsExportCmd(ap),
		newSettingsGetCmd(ap), newSettingsKeysCmd(), newSettingsLogCmd(ap), newSettingsSetCmd(ap), newSettingsUnsetCmd(ap),
	)
	return com
}

// readTree reads a tree from a file. Keys that its root lacks are taken from
// base, since a root always holds every key.
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

type faultsError struct {
	path   string
	faults []string
}

// Error lists every fault, one a line.
func (fa faultsError) Error() string {
	text := fmt.Sprintf("%s: %d faults", fa.path, len(fa.faults))
	for _, fault := range fa.faults {
		text += "\n  " + fault
	}
	return text
}

// fetchTree returns the tree of a version, and which version it is.
func fetchTree(ap *app, cli *client.Client, version uint64) (*settings.Tree, uint64, error) {
	ctx, cancel := ap.context()
	defer cancel()
	res, err := cli.Tree(ctx, version)
	if err != nil {
		return nil, 0, err
	}
	tree, err := settings.ParseINI([]byte(res.Ini))
	if err != nil {
		return nil, 0, fmt.Errorf("tree of the keepers: %w", err)
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

func editsOf(edits []settings.Edit) []*gensettings.Edit {
	list := make([]*gensettings.Edit, 0, len(edits))
	for _, edit := range edits {
		item := &gensettings.Edit{Path: edit.Path, Key: edit.Key, Unset: edit.Unset}
		if !edit.Unset {
			item.Value = &edit.Value
		}
		list = append(list, item)
	}
	return list
}
