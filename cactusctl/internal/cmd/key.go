package cmd

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"cactusstream.example/core/settings"
)

// readKeyDigest returns the digest of the key in the file or the environment variable that
// the flags --key-file or --key-env name, or "" without them. Its errors repeat neither
// the flags nor what they name: either may be the key, by mistake.
func readKeyDigest(com *cobra.Command, file, variable string) (string, error) {
	var key string
	switch {
	case com.Flags().Changed("key-file"):
		text, err := readKeyFile(file)
		if err != nil {
			return "", fmt.Errorf("--key-file: %w", err)
		}
		key = text
	case com.Flags().Changed("key-env"):
		text, isSet := os.LookupEnv(variable)
		if !isSet {
			return "", errors.New("--key-env: no environment variable has this name")
		}
		key = text
	default:
		return "", nil
	}
	if key == "" || len(key) > settings.MaxKeyBytes {
		return "", fmt.Errorf("the key has %d bytes, not 1 to %d", len(key), settings.MaxKeyBytes)
	}
	return settings.NewKeyDigest(key).String(), nil
}

// readKeyFile returns the key in a file, without the end of its line.
func readKeyFile(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", withoutPath(err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, settings.MaxKeyBytes+3)) // With an end of line, and one byte to see that the key is too long.
	if err != nil {
		return "", withoutPath(err)
	}
	return strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r"), nil
}

// withoutPath returns the cause of an error of a file.
func withoutPath(err error) error {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}
