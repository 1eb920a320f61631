package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactusstream.example/core/claim"
)

// Level is the depth of a node in the tree.
type Level int

// The levels of the tree, from the root down.
const (
	LevelRoot Level = iota
	LevelFirm
	LevelPlace
	LevelService
	LevelKind
)

// Key describes one settings key.
type Key struct {
	Name string
	Unit string
	// Range describes the allowed values.
	Range string
	// Default is the value that the root of a new tree sets.
	Default string
	// Lowest is the deepest level that may set the key.
	Lowest Level
	// Highest is the shallowest level, besides the root, that may set the key.
	Highest Level
	// Secret marks a key whose value only the keepers hold; see Tree.Public.
	Secret bool
	// Optional marks a key that the root need not set. Where it is not set, the
	// default applies.
	Optional bool
	// Text explains the key to operators.
	Text  string
	parse func(*Policy, string) error
}

// keys lists all keys, sorted by name.
var keys = []Key{
	annotationsKey(),
	optional(boolKey(KeyAnonymous, "Whether requests need no key of an organisation.", func(po *Policy) *bool { return &po.Anonymous })),
	intKey("bodyLimit", "bytes", 0, 64<<20, "262144", LevelKind, "Largest body of a request or a response.", func(po *Policy) *int { return &po.BodyLimit }),
	durationKey("boutLength", 100*time.Millisecond, time.Hour, "4s", LevelService, "Mean length of a failure burst, in which an upstream fails most requests.", func(po *Policy) *time.Duration { return &po.BoutLength }),
	durationKey("calmLength", time.Second, 24*time.Hour, "20s", LevelService, "Mean time between two failure bursts of an upstream.", func(po *Policy) *time.Duration { return &po.CalmLength }),
	claimHoldersKey(),
	intKey("coldPercent", "percent", 0, 100, "0", LevelService, "Share of its slots that an upstream uses while it reports that it is cold; 0 sends it no requests.", func(po *Policy) *int { return &po.ColdPercent }),
	optional(costAwareKey()),
	durationKey("deadline", time.Millisecond, 24*time.Hour, "5s", LevelKind, "Longest time that a request may take, including queueing and all attempts.", func(po *Policy) *time.Duration { return &po.Deadline }),
	intKey("doubtPercent", "percent", 0, 100, "0", LevelService, "Probability of a failure burst from which an upstream gets no non-idempotent requests; 0 switches this off.", func(po *Policy) *int { return &po.DoubtPercent }),
	durationKey("ejectBase", 100*time.Millisecond, time.Hour, "10s", LevelService, "First ejection duration of an upstream; doubles when the upstream flaps.", func(po *Policy) *time.Duration { return &po.EjectBase }),
	durationKey("ejectMax", time.Second, 24*time.Hour, "5m0s", LevelService, "Longest ejection duration of an upstream.", func(po *Policy) *time.Duration { return &po.EjectMax }),
	floatKey("ejectThreshold", "log-likelihood", 1, 50, "7", LevelService, "Evidence at which an upstream is ejected; higher values eject later and with fewer false positives.", func(po *Policy) *float64 { return &po.EjectThreshold }),
	intKey("floorEndpoints", "endpoints", 0, 10000, "1", LevelService, "Minimum number of endpoints of a service that stay in use despite ejections.", func(po *Policy) *int { return &po.FloorEndpoints }),
	intKey("floorPercent", "percent", 0, 100, "60", LevelService, "Minimum share of a service's announced slots that stays in use despite ejections.", func(po *Policy) *int { return &po.FloorPercent }),
	rootDurationKey("headerTimeout", time.Millisecond, time.Hour, "5s", "Longest time that a caller may take to send the header of a request.", func(po *Policy) *time.Duration { return &po.HeaderTimeout }),
	healthPathKey(),
	hostKey(),
	boolKey("idempotent", "Whether a request may be executed more than once.", func(po *Policy) *bool { return &po.Idempotent }),
	rootDurationKey("idleTimeout", time.Millisecond, time.Hour, "2m0s", "How long a caller's connection may stay idle.", func(po *Policy) *time.Duration { return &po.IdleTimeout }),
	boolKey("internal", "Whether only own services, identified by their credential, may send the request.", func(po *Policy) *bool { return &po.Internal }),
	keyDigestsKey(),
	keysKey(),
	choiceKey("method", []string{AnyMethod, "GET", "POST", "PUT", "PATCH", "DELETE"}, "GET", LevelKind, "HTTP method of the kind's requests.", func(po *Policy) *string { return &po.Method }),
	organisationRankKey(),
	pathKey(),
	intKey("queueLimit", "requests", 0, 100000, "64", LevelService, "Requests that may be queued for one endpoint.", func(po *Policy) *int { return &po.QueueLimit }),
	quotaKey(KeyQuotaBurst, "requests", "Requests that the organisation may send at once beyond its rate."),
	quotaKey(KeyQuotaRate, "requests/s", "Limit on the organisation's requests a second, over the whole fleet; 0 means no limit."),
	intKey("quotes", "endpoints", 0, 16, "0", LevelService, "Endpoints of the own availability zone, and as many of other zones, that are asked for a wait estimate before a request is sent; 0 asks none.", func(po *Policy) *int { return &po.Quotes }),
	intKey("rank", "rank", 0, RankCount-1, "2", LevelKind, "Rank of the requests; 0 is the most urgent.", func(po *Policy) *int { return &po.Rank }),
	requireKeysKey(),
	intKey("retryAttempts", "attempts", 1, 1000, "3", LevelKind, "Maximum number of attempts for one request.", func(po *Policy) *int { return &po.RetryAttempts }),
	intKey("retryPercent", "percent", 0, 100, "10", LevelService, "Retry budget, as a share of a service's requests.", func(po *Policy) *int { return &po.RetryPercent }),
	intKey("retrySlack", "attempts a minute", 0, 1_000_000, "0", LevelService, "Retry budget in addition to retryPercent, for the whole fleet.", func(po *Policy) *int { return &po.RetrySlack }),
	durationKey("retryWindow", time.Second, time.Hour, "10s", LevelService, "Time over which gates that return wait estimates compare retries with requests.", func(po *Policy) *time.Duration { return &po.RetryWindow }),
	intKey("share0", "percent", 0, 100, "40", LevelService, "Share of the slots that rank 0 keeps while other ranks are overloaded.", func(po *Policy) *int { return &po.Share[0] }),
	intKey("share1", "percent", 0, 100, "20", LevelService, "Share of the slots that rank 1 keeps while other ranks are overloaded.", func(po *Policy) *int { return &po.Share[1] }),
	intKey("share2", "percent", 0, 100, "10", LevelService, "Share of the slots that rank 2 keeps while other ranks are overloaded.", func(po *Policy) *int { return &po.Share[2] }),
	intKey("share3", "percent", 0, 100, "5", LevelService, "Share of the slots that rank 3 keeps while other ranks are overloaded.", func(po *Policy) *int { return &po.Share[3] }),
	floatKey("slowFactor", "times", 1.5, 100, "3", LevelService, "Multiple of the siblings' median latency from which an upstream counts as slow.", func(po *Policy) *float64 { return &po.SlowFactor }),
	durationKey("slowStart", 0, time.Hour, "5s", LevelService, "Time over which a warm upstream is ramped up to its full share.", func(po *Policy) *time.Duration { return &po.SlowStart }),
	splitKey(),
	durationKey("target", time.Millisecond, 24*time.Hour, "250ms", LevelKind, "Target latency of the kind.", func(po *Policy) *time.Duration { return &po.Target }),
	titleKey(),
	intKey("trialSuccesses", "requests", 1, 1000, "5", LevelService, "Consecutive successful idempotent requests after which an ejected upstream is used again.", func(po *Policy) *int { return &po.TrialSuccesses }),
	optional(durationKey("zoneByteCost", 0, time.Minute, "0s", LevelService, "Wait that an endpoint in another availability zone must save for each kilobyte of a request and its answer beyond the first 8, in addition to zoneCost; 0 counts no bytes.", func(po *Policy) *time.Duration { return &po.ZoneByteCost })),
	durationKey("zoneCost", 0, time.Minute, "100ms", LevelService, "Wait that an endpoint in another availability zone must save, by its wait estimate, to be chosen.", func(po *Policy) *time.Duration { return &po.ZoneCost }),
	intKey("zoneSpillPercent", "percent", 0, 1000, "80", LevelService, "Load of the own availability zone from which requests go to other zones.", func(po *Policy) *int { return &po.ZoneSpillPercent }),
}

// AnyMethod matches every HTTP method.
const AnyMethod = "ANY"

// keyAnnotations is the name of the key that no decision depends on.
const keyAnnotations = "annotations"

// KeyClaimHolders is the name of the key that holds the table of claim holders.
const KeyClaimHolders = "claimHolders"

var keysByName = indexKeys()

// FindKey returns the key with the given name.
func FindKey(name string) (Key, bool) {
	key, ok := keysByName[name]
	return key, ok
}

// Keys returns all keys, sorted by name.
func Keys() []Key {
	return slices.Clone(keys)
}

// Check returns an error if the value is not valid for the key.
func (ke Key) Check(value string) error {
	return ke.parse(&Policy{}, value)
}

// IsAllowedAt reports whether a node at the given level may set the key.
func (ke Key) IsAllowedAt(level Level) bool {
	if ke.describesOrganisation() {
		return level == LevelFirm
	}
	return level == LevelRoot && ke.Highest < LevelKind || level >= ke.Highest && level <= ke.Lowest
}

// describesOrganisation reports whether the key describes an organisation. Such a key
// is set by the node of the firm only and isn't inherited.
func (ke Key) describesOrganisation() bool {
	return ke.Highest == LevelFirm && ke.Lowest == LevelFirm
}

// String returns the name of the level.
func (le Level) String() string {
	return [...]string{"root", "firm", "place", "service", "kind"}[le]
}

func annotationsKey() Key {
	const allowed = "text on one line"
	return Key{Name: keyAnnotations, Unit: "text", Range: allowed, Default: "", Highest: LevelFirm, Lowest: LevelKind, Text: "Free text kept with the settings; the fleet does not use it.", parse: func(po *Policy, value string) error {
		if strings.ContainsAny(value, "\r\n") {
			return fmt.Errorf("annotations = %q: want %s", value, allowed)
		}
		po.Annotations = value
		return nil
	}}
}

func boolKey(name, text string, field func(*Policy) *bool) Key {
	return Key{Name: name, Unit: "truth", Range: "true or false", Default: strconv.FormatBool(false), Highest: LevelFirm, Lowest: LevelKind, Text: text, parse: func(po *Policy, value string) error {
		parsed, err := strconv.ParseBool(value)
		if err != nil || value != strconv.FormatBool(parsed) {
			return fmt.Errorf("%s = %q: want true or false", name, value)
		}
		*field(po) = parsed
		return nil
	}}
}

func costAwareKey() Key {
	ke := boolKey("costAware", "Whether gates that give wait estimates expect the duration of a request by its kind, organisation, size and path, and the wait by the remaining work, instead of the median of the kind and the number of requests.", func(po *Policy) *bool { return &po.CostAware })
	ke.Lowest = LevelService
	return ke
}

func claimHoldersKey() Key {
	return Key{Name: KeyClaimHolders, Unit: "table", Range: "empty, or EPOCH GROUP... [former GROUP...], a group being three daemon ids, as 2 d1,d2,d3 former d1,d2,d4", Default: "", Highest: LevelFirm, Lowest: LevelRoot, Text: "Daemons that hold the claims of non-idempotent requests; `cactusctl claims assign` sets it.", parse: func(po *Policy, value string) error {
		table, err := claim.ParseTable(value)
		if err != nil {
			return fmt.Errorf("claimHolders = %q: %w", value, err)
		}
		po.ClaimHolders = table
		return nil
	}}
}

func choiceKey(name string, choices []string, def string, lowest Level, text string, field func(*Policy) *string) Key {
	allowed := strings.Join(choices, ", ")
	return Key{Name: name, Unit: "word", Range: allowed, Default: def, Highest: LevelFirm, Lowest: lowest, Text: text, parse: func(po *Policy, value string) error {
		if !slices.Contains(choices, value) {
			return fmt.Errorf("%s = %q: want one of %s", name, value, allowed)
		}
		*field(po) = value
		return nil
	}}
}

func durationKey(name string, low, high time.Duration, def string, lowest Level, text string, field func(*Policy) *time.Duration) Key {
	allowed := fmt.Sprintf("%s to %s", low, high)
	return Key{Name: name, Unit: "duration", Range: allowed, Default: def, Highest: LevelFirm, Lowest: lowest, Text: text, parse: func(po *Policy, value string) error {
		dur, err := time.ParseDuration(value)
		if err != nil || dur < low || dur > high {
			return fmt.Errorf("%s = %q: want a duration from %s", name, value, allowed)
		}
		*field(po) = dur
		return nil
	}}
}

func floatKey(name, unit string, low, high float64, def string, lowest Level, text string, field func(*Policy) *float64) Key {
	allowed := fmt.Sprintf("%g to %g", low, high)
	return Key{Name: name, Unit: unit, Range: allowed, Default: def, Highest: LevelFirm, Lowest: lowest, Text: text, parse: func(po *Policy, value string) error {
		num, err := strconv.ParseFloat(value, 64)
		if err != nil || !(num >= low && num <= high) {
			return fmt.Errorf("%s = %q: want a number from %s", name, value, allowed)
		}
		*field(po) = num
		return nil
	}}
}

func healthPathKey() Key {
	const allowed = "empty, or a path such as /health"
	return Key{Name: "healthPath", Unit: "path", Range: allowed, Default: "", Highest: LevelFirm, Lowest: LevelService, Text: "Path of an upstream's health check; empty disables health checks.", parse: func(po *Policy, value string) error {
		if value != "" && !strings.HasPrefix(value, "/") {
			return fmt.Errorf("healthPath = %q: want %s", value, allowed)
		}
		po.HealthPath = value
		return nil
	}}
}

func hostKey() Key {
	const allowed = "empty, or a host name without a port"
	return Key{Name: "host", Unit: "name", Range: allowed, Default: "", Highest: LevelKind, Lowest: LevelKind, Text: "Host of the kind's requests; empty matches every host.", parse: func(po *Policy, value string) error {
		if strings.ContainsAny(value, " /:?#") {
			return fmt.Errorf("host = %q: want %s", value, allowed)
		}
		po.Host = strings.ToLower(value)
		return nil
	}}
}

func indexKeys() map[string]Key {
	byName := make(map[string]Key, len(keys))
	for _, key := range keys {
		byName[key.Name] = key
	}
	return byName
}

func intKey(name, unit string, low, high int, def string, lowest Level, text string, field func(*Policy) *int) Key {
	allowed := fmt.Sprintf("%d to %d", low, high)
	return Key{Name: name, Unit: unit, Range: allowed, Default: def, Highest: LevelFirm, Lowest: lowest, Text: text, parse: func(po *Policy, value string) error {
		num, err := strconv.Atoi(value)
		if err != nil || num < low || num > high {
			return fmt.Errorf("%s = %q: want a whole number from %s", name, value, allowed)
		}
		*field(po) = num
		return nil
	}}
}

func pathKey() Key {
	const allowed = "a path such as /catalogo/stock; with a trailing slash it matches only paths below it"
	return Key{Name: "path", Unit: "path", Range: allowed, Default: "", Highest: LevelKind, Lowest: LevelKind, Text: "Path prefix, in whole segments, of the kind's requests.", parse: func(po *Policy, value string) error {
		if !strings.HasPrefix(value, "/") || strings.Contains(value, "//") || strings.ContainsAny(value, " ?#%") {
			return fmt.Errorf("path = %q: want %s", value, allowed)
		}
		po.Path = value
		return nil
	}}
}

// rootDurationKey returns a duration key that only the root may set.
func rootDurationKey(name string, low, high time.Duration, def, text string, field func(*Policy) *time.Duration) Key {
	key := durationKey(name, low, high, def, LevelKind, text, field)
	key.Lowest = LevelRoot
	return key
}

func splitKey() Key {
	const allowed = "empty, or SERVICE:WEIGHT entries separated by spaces, at least one weight above 0"
	return Key{Name: "split", Unit: "weights", Range: allowed, Default: "", Highest: LevelKind, Lowest: LevelKind, Text: "Services that share the kind's requests, by weight; empty means the kind's own service.", parse: func(po *Policy, value string) error {
		split, err := ParseSplit(value)
		if err != nil {
			return fmt.Errorf("split = %q: %w; want %s", value, err, allowed)
		}
		po.Split = split
		return nil
	}}
}
