package settings

import (
	"time"

	"cactusstream.example/core/claim"
)

// RankCount is the number of ranks; rank 0 is the most urgent.
const RankCount = 4

// Policy holds the effective settings of a node. Each field holds the key of the
// same name; Share holds share0 to share3.
type Policy struct {
	Annotations      string
	Anonymous        bool
	Host             string
	Method           string
	Path             string
	Split            Split
	HealthPath       string
	HeaderTimeout    time.Duration
	IdleTimeout      time.Duration
	ColdPercent      int
	BoutLength       time.Duration
	CalmLength       time.Duration
	CostAware        bool
	DoubtPercent     int
	Idempotent       bool
	Internal         bool
	Rank             int
	Target           time.Duration
	Deadline         time.Duration
	BodyLimit        int
	Share            [RankCount]int
	FloorPercent     int
	FloorEndpoints   int
	EjectThreshold   float64
	SlowFactor       float64
	EjectBase        time.Duration
	EjectMax         time.Duration
	TrialSuccesses   int
	SlowStart        time.Duration
	RequireKeys      bool
	RetryAttempts    int
	RetryPercent     int
	RetrySlack       int
	RetryWindow      time.Duration
	QueueLimit       int
	Quotes           int
	ZoneByteCost     time.Duration
	ZoneCost         time.Duration
	ZoneSpillPercent int
	ClaimHolders     claim.Table
}
