package e2e_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var testNamePattern = regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9]+)`")

// TestDocumentedTestsExist checks that every test named in docs/proofs.md exists.
func TestDocumentedTestsExist(t *testing.T) {
	page, err := os.ReadFile("../../../docs/proofs.md")
	if err != nil {
		t.Fatal(err)
	}
	var code strings.Builder
	err = filepath.WalkDir("../../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		code.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	names := testNamePattern.FindAllStringSubmatch(string(page), -1)
	if len(names) < 30 {
		t.Fatalf("docs/proofs.md names only %d tests, want at least 30", len(names))
	}
	for _, name := range names {
		if !strings.Contains(code.String(), "func "+name[1]+"(") {
			t.Errorf("docs/proofs.md names %s, which does not exist", name[1])
		}
	}
}
