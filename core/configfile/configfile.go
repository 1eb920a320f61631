// Package configfile reads the INI configuration file of a process.
//
// Usage:
//
//	var cfg Config
//	err := configfile.Load(path, []configfile.Key{
//		configfile.String("process", "id", &cfg.ID, "name, unique in the fleet", configfile.Required),
//		configfile.Address("listen", "callers", &cfg.Callers, "IP address and port"),
//	})
//
// Load reports all faults at once. Each Fault names the file, section, key,
// invalid value and the allowed values. Unknown sections and keys are faults too.
package configfile

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// MaxSize is the largest accepted file, in bytes.
const MaxSize = 1 << 20

// Option modifies a Key.
type Option func(*Key)

// Fault describes an invalid, unknown or missing key of a file. Allowed describes the
// allowed values, or tells that the key is unknown.
type Fault struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// Faults holds all faults of a file; it is the error that Load returns for them.
type Faults []Fault

// Key describes a key of the file and the variable that receives its value. Allowed
// describes the allowed values to users.
type Key struct {
	Section  string
	Name     string
	Allowed  string
	Required bool
	// Optional means that an empty value is like no value.
	Optional bool
	set      func(string) error
}

// Address returns a key for an IP address and port.
func Address(section, name string, target *string, allowed string, opts ...Option) Key {
	return newKey(section, name, allowed, opts, func(text string) error {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("parse address: %w", err)
		}
		*target = text
		return nil
	})
}

// Addresses returns a key for a comma-separated list of IP addresses and ports.
func Addresses(section, name string, target *[]string, allowed string, opts ...Option) Key {
	return newKey(section, name, allowed, opts, func(text string) error {
		var addresses []string
		for address := range strings.SplitSeq(text, ",") {
			address = strings.TrimSpace(address)
			if _, err := netip.ParseAddrPort(address); err != nil {
				return fmt.Errorf("parse address: %w", err)
			}
			addresses = append(addresses, address)
		}
		*target = addresses
		return nil
	})
}

// Choice returns a key for one of the given values.
func Choice(section, name string, target *string, choices []string, opts ...Option) Key {
	allowed := "one of " + strings.Join(choices, ", ")
	return newKey(section, name, allowed, opts, func(text string) error {
		for _, choice := range choices {
			if text == choice {
				*target = text
				return nil
			}
		}
		return fmt.Errorf("want %s", allowed)
	})
}

// Duration returns a key for a duration from low to high.
func Duration(section, name string, target *time.Duration, low, high time.Duration, opts ...Option) Key {
	allowed := fmt.Sprintf("a duration from %s to %s", low, high)
	return newKey(section, name, allowed, opts, func(text string) error {
		dur, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("parse duration: %w", err)
		}
		if dur < low || dur > high {
			return fmt.Errorf("want %s", allowed)
		}
		*target = dur
		return nil
	})
}

// File returns a key for the path of an existing file that is not a directory.
func File(section, name string, target *string, allowed string, opts ...Option) Key {
	return newKey(section, name, allowed, opts, func(text string) error {
		info, err := os.Stat(text)
		if err != nil {
			return fmt.Errorf("stat file: %w", err)
		}
		if info.IsDir() {
			return fmt.Errorf("%s: is a directory", text)
		}
		*target = text
		return nil
	})
}

// Int returns a key for an integer from low to high.
func Int(section, name string, target *int, low, high int, opts ...Option) Key {
	allowed := fmt.Sprintf("a number from %d to %d", low, high)
	return newKey(section, name, allowed, opts, func(text string) error {
		num, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("parse number: %w", err)
		}
		if num < low || num > high {
			return fmt.Errorf("want %s", allowed)
		}
		*target = num
		return nil
	})
}

// Load reads a file and stores the values in the variables of the keys. Variables
// of valid keys are set even if other keys have faults.
func Load(path string, keys []Key) error {
	file, err := readFile(path)
	if err != nil {
		return err
	}
	byName := make(map[string]Key)
	for _, key := range keys {
		byName[key.Section+"."+key.Name] = key
	}
	var faults Faults
	for _, sec := range file.Sections() {
		for _, entry := range sec.Keys() {
			faults = append(faults, setValue(path, sec.Name(), entry, byName)...)
		}
	}
	for _, key := range keys {
		if key.Required && !hasKey(file, key) {
			faults = append(faults, Fault{File: path, Section: key.Section, Key: key.Name, Value: "(missing)", Allowed: key.Allowed})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// Optional is an Option that makes an empty value mean that there is none, for keys whose
// value a template fills in if it is known.
func Optional(key *Key) {
	key.Optional = true
}

// Required is an Option that makes a key mandatory.
func Required(key *Key) {
	key.Required = true
}

// String returns a key for any text that is not empty.
func String(section, name string, target *string, allowed string, opts ...Option) Key {
	return newKey(section, name, allowed, opts, func(text string) error {
		if text == "" {
			return fmt.Errorf("empty")
		}
		*target = text
		return nil
	})
}

// Error returns the faults, one per line.
func (fa Faults) Error() string {
	lines := make([]string, 0, len(fa))
	for _, fault := range fa {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// String returns a description of the fault on one line.
func (fa Fault) String() string {
	return fmt.Sprintf("%s: [%s] %s = %q: want %s", fa.File, fa.Section, fa.Key, fa.Value, fa.Allowed)
}

// setValue stores the value of an entry in the variable of its key.
func setValue(path, section string, entry *ini.Key, byName map[string]Key) Faults {
	key, known := byName[section+"."+entry.Name()]
	if !known {
		return Faults{{File: path, Section: section, Key: entry.Name(), Value: entry.Value(), Allowed: "no such key"}}
	}
	if len(entry.ValueWithShadows()) > 1 {
		return Faults{{File: path, Section: section, Key: entry.Name(), Value: strings.Join(entry.ValueWithShadows(), ", "), Allowed: "one value"}}
	}
	if key.Optional && entry.Value() == "" {
		return nil
	}
	if err := key.set(entry.Value()); err != nil {
		return Faults{{File: path, Section: section, Key: entry.Name(), Value: entry.Value(), Allowed: key.Allowed}}
	}
	return nil
}

func hasKey(file *ini.File, key Key) bool {
	return file.HasSection(key.Section) && file.Section(key.Section).HasKey(key.Name)
}

func newKey(section, name, allowed string, opts []Option, set func(string) error) Key {
	key := Key{Section: section, Name: name, Allowed: allowed, set: set}
	for _, opt := range opts {
		opt(&key)
	}
	return key
}

func readFile(path string) (*ini.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	if len(data) > MaxSize {
		return nil, fmt.Errorf("%s: larger than %d bytes", path, MaxSize)
	}
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}
