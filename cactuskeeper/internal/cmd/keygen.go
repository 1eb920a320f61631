package cmd

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"cactusstream.example/core/auth"
)

const (
	publicMode = 0o644
	secretMode = 0o600
)

func newKeygenCmd() *cobra.Command {
	var folder string
	com := &cobra.Command{
		Use:     "keygen --out FOLDER",
		Short:   "Make the signing key and the tokens of a new fleet",
		Long:    "Keygen writes signing.key and signing.pub, and the token files fleet.token, operator.token, upstream.token and service.token. It never replaces a file.",
		Example: "  cactuskeeper keygen --out credentials",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			if err := writeKeys(folder); err != nil {
				return fmt.Errorf("keygen: %w", err)
			}
			fmt.Fprintln(com.OutOrStdout(), folder)
			return nil
		},
	}
	com.Flags().StringVar(&folder, "out", "", "folder for the files")
	_ = com.MarkFlagRequired("out")
	return com
}

func writeKeys(folder string) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	seed, public, err := auth.NewPrivateKey()
	if err != nil {
		return err
	}
	if err := writeNew(filepath.Join(folder, "signing.key"), seed, secretMode); err != nil {
		return err
	}
	if err := writeNew(filepath.Join(folder, "signing.pub"), public, publicMode); err != nil {
		return err
	}
	for _, name := range []string{"fleet", "operator", "upstream", "service"} {
		if err := writeNew(filepath.Join(folder, name+".token"), auth.NewToken(), secretMode); err != nil {
			return err
		}
	}
	return nil
}

func writeNew(path, text string, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if _, err := fmt.Fprintln(file, text); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	return nil
}
