// Package loadfile reads JSON files with load patterns for replay tests. A file is an
// object or a list of load patterns, whose fields the test defines.
//
// Usage:
//
//	loads, err := loadfile.Read[map[string]load]("testdata/loads.json")
package loadfile

import (
	"encoding/json"
	"fmt"
	"os"
)

// Read decodes a file into a T. It returns an error if the file can't be read or is
// not valid JSON for a T.
func Read[T any](path string) (T, error) {
	var loads T
	data, err := os.ReadFile(path)
	if err != nil {
		return loads, fmt.Errorf("read load file: %w", err)
	}
	if err := json.Unmarshal(data, &loads); err != nil {
		return loads, fmt.Errorf("parse load file %s: %w", path, err)
	}
	return loads, nil
}
