package cmd

import (
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"cactusstream.example/cactuskeeper/keeper"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/wal"
)

func newInitCmd() *cobra.Command {
	var path string
	var join bool
	com := &cobra.Command{
		Use:   "init --config FILE",
		Short: "Create the identity of a keeper in an empty data folder",
		Long: `Init creates the identity of a keeper in an empty data folder. It can be run
only once for each data folder.

Without --join the keeper is one of the initial keepers, which the key "initial"
lists. With --join it gets a new identity and stays out of the group until an
operator adds it. Use --join also for a VM that lost its disk.`,
		Example: `  cactuskeeper init --config keeper1.ini
  cactuskeeper init --config keeper1.ini --join`,
		Args: cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			ident, err := initialise(path, join)
			if err != nil {
				return err
			}
			fmt.Fprintln(com.OutOrStdout(), ident.ID)
			return nil
		},
	}
	addConfigFlag(com, &path)
	com.Flags().BoolVar(&join, "join", false, "join an existing group under a new identity")
	return com
}

func initialise(path string, join bool) (keeper.Identity, error) {
	cfg, err := loadConfig(path)
	if err != nil {
		return keeper.Identity{}, err
	}
	disk, err := wal.OpenFolder(cfg.DataFolder)
	if err != nil {
		return keeper.Identity{}, fmt.Errorf("init: %w", err)
	}
	if join {
		id := fmt.Sprintf("%s-%s", cfg.ID, uuid.NewString()[:8])
		return keeper.Initialise(disk, id, consensus.Config{})
	}
	group, err := cfg.initialGroup()
	if err != nil {
		return keeper.Identity{}, err
	}
	if !group.IsVoter(cfg.ID) {
		return keeper.Identity{}, errors.New("init: the key initial does not list this keeper; use --join to join an existing group")
	}
	return keeper.Initialise(disk, cfg.ID, group)
}
