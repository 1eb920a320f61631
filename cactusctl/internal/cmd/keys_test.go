package cmd_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"

	"cactusstream.example/cactusctl/internal/cmd"
)

func TestSettingsPageMatchesKeys(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../../docs/settings.md")
	is.NoErr(err)
	var page bytes.Buffer
	cmd.WriteKeys(&page)
	is.Equal(string(data), page.String())
}
