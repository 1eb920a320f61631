package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// WeightedService is a service of a Split and its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Split distributes the requests of a kind among services in proportion to their
// weights.
type Split []WeightedService

// ParseSplit parses a split such as "one:90 two:10". An empty text gives an empty
// split.
func ParseSplit(text string) (Split, error) {
	var split Split
	total := 0
	for entry := range strings.FieldsSeq(text) {
		service, number, ok := strings.Cut(entry, ":")
		weight, err := strconv.Atoi(number)
		if !ok || !namePattern.MatchString(service) || err != nil || weight < 0 {
			return nil, fmt.Errorf("invalid entry %q", entry)
		}
		split = append(split, WeightedService{Service: service, Weight: weight})
		total += weight
	}
	if len(split) > 0 && total == 0 {
		return nil, errors.New("at least one weight must be above 0")
	}
	return split, nil
}

// Choose returns the service at a point of the cumulative weights, where the
// point is at least 0 and below 1. It returns "" for an empty split.
func (sp Split) Choose(point float64) string {
	total := 0
	for _, part := range sp {
		total += part.Weight
	}
	remaining := point * float64(total)
	for _, part := range sp {
		if remaining < float64(part.Weight) {
			return part.Service
		}
		remaining -= float64(part.Weight)
	}
	return ""
}

// String returns the split in the form that ParseSplit accepts.
func (sp Split) String() string {
	entries := make([]string, 0, len(sp))
	for _, part := range sp {
		entries = append(entries, fmt.Sprintf("%s:%d", part.Service, part.Weight))
	}
	return strings.Join(entries, " ")
}
