package cmd

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"cactusstream.example/core/auth"
)

const (
	publicFileMode = 0o644
	secretFileMode = 0o600
)

func newKeygenCmd() *cobra.Command {
	var folder string
	com := &cobra.Command{
		Use:     "keygen --out FOLDER",
		Short:   "Generate the signing key and the tokens of a new fleet",
		Long:    "Keygen writes signing.key and signing.pub, and the token files fleet.token, operator.token, upstream.token and service.token. It never overwrites an existing file.",
		Example: "  cactuskeeper keygen --out credentials",
		Args:    cobra.NoArgs,
		RunE: func(com *cobra.Command, _ []string) error {
			if err := writeCredentials(folder); err != nil {
				return fmt.Errorf("keygen: %w", err)
			}
			fmt.Fprintln(com.OutOrStdout(), folder)
			return nil
		},
	}
	com.Flags().StringVar(&folder, "out", "", "output folder")
	_ = com.MarkFlagRequired("out")
	return com
}

func writeCredentials(folder string) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	seed, public, err := auth.NewPrivateKey()
	if err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(folder, "signing.key"), seed, secretFileMode); err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(folder, "signing.pub"), public, publicFileMode); err != nil {
		return err
	}
	for _, name := range []string{"fleet", "operator", "upstream", "service"} {
		if err := writeNewFile(filepath.Join(folder, name+".token"), auth.NewToken(), secretFileMode); err != nil {
			return err
		}
	}
	return nil
}

func writeNewFile(path, text string, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return fmt.Errorf("write credential: %w", err)
	}
	if _, err := fmt.Fprintln(file, text); err != nil {
		return fmt.Errorf("write credential: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write credential: %w", err)
	}
	return nil
}
