// Package loadfile reads the data files that replays of a load are made of: a JSON
// object or list of loads, whose fields the replay defines.
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

// Read returns what a file holds. It fails where the file can't be read, or is
// no T.
func Read[T any](path string) (T, error) {
	var loads T
	data, err := os.ReadFile(path)
	if err != nil {
		return loads, fmt.Errorf("load file: %w", err)
	}
	if err := json.Unmarshal(data, &loads); err != nil {
		return loads, fmt.Errorf("load file %s: %w", path, err)
	}
	return loads, nil
}
