package settings

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Names of the keys that describe an organisation, of the key that exempts a kind of
// request from the check of credentials, and of the key that demands it where there is no
// organisation.
const (
	KeyAnonymous        = "anonymous"
	KeyKeyDigests       = "keyDigests"
	KeyKeys             = "keys"
	KeyOrganisationRank = "organisationRank"
	KeyQuotaBurst       = "quotaBurst"
	KeyQuotaRate        = "quotaRate"
	KeyRequireKeys      = "requireKeys"
	KeyTitle            = "title"
)

const (
	// MaxKeyBytes limits an organisation's key, in bytes.
	MaxKeyBytes = 256
	// MaxTitleBytes limits the title of an organisation, in bytes. It is sent in a header.
	MaxTitleBytes = 256
	// MaxQuota is the largest quotaRate and quotaBurst, in requests.
	MaxQuota = 1e9
	// DefaultOrganisationRank applies to organisations that set no rank.
	DefaultOrganisationRank = 2
)

// KeyDigest is the SHA-256 digest of an organisation's key. The key itself is known to
// the keepers and the callers only.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of a key.
func NewKeyDigest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// ParseKeyDigest is the inverse of KeyDigest.String.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(data) != len(digest) {
		return digest, fmt.Errorf("%q is not the base64url form of a SHA-256 digest", text)
	}
	return KeyDigest(data), nil
}

// ParseKeyDigests parses the value of keyDigests.
func ParseKeyDigests(text string) ([]KeyDigest, error) {
	var digests []KeyDigest
	for field := range strings.FieldsSeq(text) {
		digest, err := ParseKeyDigest(field)
		if err != nil {
			return nil, err
		}
		digests = append(digests, digest)
	}
	return digests, nil
}

// String returns the digest in base64url, without padding.
func (di KeyDigest) String() string { return base64.RawURLEncoding.EncodeToString(di[:]) }

// FormatKeyDigests returns the value of keyDigests.
func FormatKeyDigests(digests []KeyDigest) string {
	texts := make([]string, 0, len(digests))
	for _, digest := range digests {
		texts = append(texts, digest.String())
	}
	return strings.Join(texts, " ")
}

// FormatKeys returns the value of keys, and of the keyDigests that belong to it.
func FormatKeys(list []string) (text, digests string, err error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if list == nil {
		list = []string{}
	}
	if err := enc.Encode(list); err != nil {
		return "", "", fmt.Errorf("encode keys: %w", err)
	}
	return strings.TrimSpace(buf.String()), FormatKeyDigests(digestsOf(list)), nil
}

// ParseKeys parses the value of keys. Its errors don't contain the value.
func ParseKeys(text string) ([]string, error) {
	var list []string
	if strings.ContainsAny(text, "\r\n") || json.Unmarshal([]byte(text), &list) != nil || list == nil {
		return nil, errors.New("not a JSON list of texts on one line")
	}
	for i, key := range list {
		if key == "" || len(key) > MaxKeyBytes {
			return nil, fmt.Errorf("key %d has %d bytes, not 1 to %d", i+1, len(key), MaxKeyBytes)
		}
	}
	return list, nil
}

func digestsOf(list []string) []KeyDigest {
	digests := make([]KeyDigest, 0, len(list))
	for _, key := range list {
		digests = append(digests, NewKeyDigest(key))
	}
	return digests
}

// optional returns a key that the root need not set, so that trees of earlier versions
// of the program, which don't set it, stay valid.
func optional(key Key) Key {
	key.Optional = true
	return key
}

// organisationKey returns a key that describes an organisation.
func organisationKey(name, unit, allowed, def, text string, check func(string) error) Key {
	return Key{Name: name, Unit: unit, Range: allowed, Default: def, Highest: LevelFirm, Lowest: LevelFirm, Optional: true, Text: text, parse: func(_ *Policy, value string) error {
		return check(value)
	}}
}

func keyDigestsKey() Key {
	const allowed = "base64url SHA-256 digests, separated by spaces"
	return organisationKey(KeyKeyDigests, "digests", allowed, "", "Digests of the organisation's keys, which daemons check requests against. If `keys` is set, this must be set as well, and `keys` hold the keys of exactly these digests.", func(value string) error {
		if _, err := ParseKeyDigests(value); err != nil {
			return fmt.Errorf("%s: %w; want %s", KeyKeyDigests, err, allowed)
		}
		return nil
	})
}

func keysKey() Key {
	allowed := fmt.Sprintf("JSON list on one line, each key of 1 to %d bytes", MaxKeyBytes)
	key := organisationKey(KeyKeys, "list", allowed, "", "Keys of the organisation. Only the keepers hold this value, and no output shows it; it may be left unset if `keyDigests` is set.", func(value string) error {
		if _, err := ParseKeys(value); err != nil {
			return fmt.Errorf("%s: %w; want %s", KeyKeys, err, allowed) // The value is secret.
		}
		return nil
	})
	key.Secret = true
	return key
}

func organisationRankKey() Key {
	allowed := fmt.Sprintf("0 to %d", RankCount-1)
	return organisationKey(KeyOrganisationRank, "rank", allowed, strconv.Itoa(DefaultOrganisationRank), "Rank of the organisation, which takes precedence over the ranks of its requests; 0 is the most urgent.", func(value string) error {
		if rank, err := strconv.Atoi(value); err != nil || rank < 0 || rank >= RankCount {
			return fmt.Errorf("%s = %q: want a whole number from %s", KeyOrganisationRank, value, allowed)
		}
		return nil
	})
}

func quotaKey(name, unit, text string) Key {
	allowed := fmt.Sprintf("0 to %g", float64(MaxQuota))
	return organisationKey(name, unit, allowed, "0", text, func(value string) error {
		if num, err := strconv.ParseFloat(value, 64); err != nil || !(num >= 0 && num <= MaxQuota) {
			return fmt.Errorf("%s = %q: want a number from %s", name, value, allowed)
		}
		return nil
	})
}

func requireKeysKey() Key {
	key := optional(boolKey(KeyRequireKeys, "Whether requests need the key of an organisation although the settings have no organisation. Where they have one, requests need a key in any case.", func(po *Policy) *bool { return &po.RequireKeys }))
	key.Lowest = LevelRoot
	return key
}

func titleKey() Key {
	allowed := fmt.Sprintf("text of at most %d bytes without control characters", MaxTitleBytes)
	return organisationKey(KeyTitle, "text", allowed, "", "Name of the organisation that upstreams get; empty means the name of the firm.", func(value string) error {
		isControl := func(char rune) bool { return char < ' ' || char == 0x7f }
		if len(value) > MaxTitleBytes || strings.ContainsFunc(value, isControl) {
			return fmt.Errorf("%s = %q: want %s", KeyTitle, value, allowed)
		}
		return nil
	})
}

// isRequired reports whether the root must set the key.
func (ke Key) isRequired() bool { return !ke.Optional && ke.Highest < LevelKind }
