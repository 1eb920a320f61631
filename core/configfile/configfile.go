// Package configfile reads the INI file with a process's own settings.
//
// Usage:
//
//	var cfg Config
//	err := configfile.Load(path, []configfile.Key{
//		configfile.String("process", "id", &cfg.ID, "name, unique in the fleet", configfile.Required),
//		configfile.Address("listen", "callers", &cfg.Callers, "IP address and port"),
//	})
//
// Load finds all faults at once: each Fault names the file, section, key, bad
// value and what is allowed. Unknown sections and keys are faults too.
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

// MaxSize bounds the file, in bytes.
const MaxSize = 1 << 20

// Option changes a Key.
type Option func(*Key)

// Fault is one thing that is wrong with a file.
type Fault struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// Faults is every fault of a file.
type Faults []Fault

// Key is one key that a file may hold.
type Key struct {
	Section  string
	Name     string
	Allowed  string
	Required bool
	set      func(string) error
}

// Address returns a key that holds an IP address and port.
func Address(section, name string, target *string, allowed string, opts ...Option) Key {
	return newKey(section, name, allowed, opts, func(text string) error {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("parse address: %w", err)
		}
		*target = text
		return nil
	})
}

// Addresses returns a key that holds IP addresses and ports, with commas between.
func Addresses(section, name string, target *[]string, allowed string, opts ...Option) Key {
	return newKey(section, name, allowed, opts, func(text string) error {
		var list []string
		for part := range strings.SplitSeq(text, ",") {
			part = strings.TrimSpace(part)
			if _, err := netip.ParseAddrPort(part); err != nil {
				return fmt.Errorf("parse address: %w", err)
			}
			list = append(list, part)
		}
		*target = list
		return nil
	})
}

// Choice returns a key that holds one of the allowed words.
func Choice(section, name string, target *string, words []string, opts ...Option) Key {
	allowed := "one of " + strings.Join(words, ", ")
	return newKey(section, name, allowed, opts, func(text string) error {
		for _, word := range words {
			if text == word {
				*target = text
				return nil
			}
		}
		return fmt.Errorf("want %s", allowed)
	})
}

// Duration returns a key that holds a duration of at least low.
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

// File returns a key that holds the path of a readable file.
func File(section, name string, target *string, allowed string, opts ...Option) Key {
	return newKey(section, name, allowed, opts, func(text string) error {
		info, err := os.Stat(text)
		if err != nil {
			return fmt.Errorf("look at file: %w", err)
		}
		if info.IsDir() {
			return fmt.Errorf("%s: is a folder", text)
		}
		*target = text
		return nil
	})
}

// Int returns a key that holds a number from low to high.
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

// Load reads a file into the targets of its keys.
func Load(path string, keys []Key) error {
	file, err := read(path)
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
			faults = append(faults, apply(path, sec.Name(), entry, byName)...)
		}
	}
	for _, key := range keys {
		if key.Required && !hasKey(file, key) {
			faults = append(faults, Fault{File: path, Section: key.Section, Key: key.Name, Value: "(absent)", Allowed: key.Allowed})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// Required marks a key that a file must hold.
func Required(key *Key) {
	key.Required = true
}

// String returns a key that holds any text that is not empty.
func String(section, name string, target *string, allowed string, opts ...Option) Key {
	return newKey(section, name, allowed, opts, func(text string) error {
		if text == "" {
			return fmt.Errorf("empty")
		}
		*target = text
		return nil
	})
}

// Error lists the faults, one a line.
func (fa Faults) Error() string {
	lines := make([]string, 0, len(fa))
	for _, fault := range fa {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// String describes the fault in one line.
func (fa Fault) String() string {
	return fmt.Sprintf("%s: [%s] %s = %q: want %s", fa.File, fa.Section, fa.Key, fa.Value, fa.Allowed)
}

func apply(path, section string, entry *ini.Key, byName map[string]Key) Faults {
	key, known := byName[section+"."+entry.Name()]
	if !known {
		return Faults{{File: path, Section: section, Key: entry.Name(), Value: entry.Value(), Allowed: "no such key"}}
	}
	if len(entry.ValueWithShadows()) > 1 {
		return Faults{{File: path, Section: section, Key: entry.Name(), Value: strings.Join(entry.ValueWithShadows(), ", "), Allowed: "one value"}}
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

func read(path string) (*ini.File, error) {
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
