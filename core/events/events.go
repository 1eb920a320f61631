// Package events holds the numbered events that the processes log.
//
// Usage:
//
//	log := events.NewLogger("json", "info", os.Stderr)
//	log.Write(events.SettingsInForce, logrus.Fields{"version": 7})
//
// Every event has a number that never changes its meaning; docs/events.md is
// the catalogue, and a test compares the two.
package events

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// timeFormat has milliseconds, so that the lines of several processes can be put
// into order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Event is one kind of thing that a process logs.
type Event struct {
	Number  int
	Name    string
	Level   logrus.Level
	Meaning string
}

// The events, by number: 1xx processes, 2xx settings, 3xx members and
// upstreams, 4xx requests and claims, 5xx keepers, 6xx links.
var (
	ProcessStarted     = define(100, "processStarted", logrus.InfoLevel, "A process serves on its addresses.")
	ProcessStopping    = define(101, "processStopping", logrus.InfoLevel, "A process was told to stop and refuses new work.")
	ProcessStopped     = define(102, "processStopped", logrus.InfoLevel, "A process finished its work and exits.")
	ProcessCut         = define(103, "processCut", logrus.ErrorLevel, "The bound of a stop passed and requests in flight were cut.")
	ProcessReloaded    = define(104, "processReloaded", logrus.InfoLevel, "A process read its settings file again.")
	LinesLeftOut       = define(105, "linesLeftOut", logrus.WarnLevel, "More lines came in a second than the process may log; so many were left out.")
	SettingsInForce    = define(200, "settingsInForce", logrus.InfoLevel, "A version of the settings is in force in this process.")
	SettingsRefused    = define(201, "settingsRefused", logrus.WarnLevel, "Received settings failed the check of integrity, origin or version.")
	SettingsAccepted   = define(202, "settingsAccepted", logrus.InfoLevel, "The keepers accepted a change.")
	SettingsDrift      = define(203, "settingsDrift", logrus.ErrorLevel, "The digest of the settings differs from the signed one; the whole tree is fetched.")
	MemberChanged      = define(300, "memberChanged", logrus.InfoLevel, "The status of a daemon changed in the member table.")
	UpstreamAnnounced  = define(301, "upstreamAnnounced", logrus.InfoLevel, "An upstream announced itself.")
	UpstreamLeft       = define(302, "upstreamLeft", logrus.InfoLevel, "An upstream announced that it leaves, or its announcement expired.")
	UpstreamSick       = define(303, "upstreamSick", logrus.WarnLevel, "The gate judged its upstream sick.")
	UpstreamRecovered  = define(304, "upstreamRecovered", logrus.InfoLevel, "Real work showed that an upstream is well again.")
	UpstreamTrial      = define(305, "upstreamTrial", logrus.InfoLevel, "An ejected upstream gets a little work on trial.")
	UpstreamDoubtful   = define(306, "upstreamDoubtful", logrus.InfoLevel, "The gate takes its upstream to be in a bout of failures; only work that may be repeated tries it.")
	UpstreamTrusted    = define(307, "upstreamTrusted", logrus.InfoLevel, "The gate takes the bout of failures of its upstream to be over.")
	RequestFailed      = define(400, "requestFailed", logrus.InfoLevel, "A request was answered with an error of the fleet.")
	HolderReady        = define(401, "holderReady", logrus.InfoLevel, "A claim holder votes for keys made after its start.")
	RequestEnded       = define(402, "requestEnded", logrus.InfoLevel, "A request was answered with what an upstream answered.")
	AttemptEnded       = define(403, "attemptEnded", logrus.InfoLevel, "An attempt at an upstream ended, or its gate refused it.")
	KeeperLeader       = define(500, "keeperLeader", logrus.InfoLevel, "This keeper became the leader.")
	KeeperFollower     = define(501, "keeperFollower", logrus.InfoLevel, "This keeper follows a leader or looks for one.")
	KeeperDiskFailed   = define(502, "keeperDiskFailed", logrus.ErrorLevel, "The disk of the keeper failed; it acknowledges nothing more.")
	KeeperStranger     = define(503, "keeperStranger", logrus.ErrorLevel, "A keeper with a known name but another identity was refused.")
	KeeperMembers      = define(504, "keeperMembers", logrus.InfoLevel, "The group of the keepers changed.")
	KeeperSnapshot     = define(505, "keeperSnapshot", logrus.InfoLevel, "A snapshot was written or installed.")
	KeeperRegroups     = define(506, "keeperRegroups", logrus.InfoLevel, "The leader adds, promotes or removes a keeper by itself.")
	KeeperReopened     = define(507, "keeperReopened", logrus.InfoLevel, "The keeper read its disk again after a fault and takes part once more.")
	LinkOpened         = define(600, "linkOpened", logrus.DebugLevel, "A link to another process was opened.")
	LinkLost           = define(601, "linkLost", logrus.InfoLevel, "A link to another process was lost.")
	CredentialsRefused = define(602, "credentialsRefused", logrus.WarnLevel, "A call without a right credential was refused.")
)

var catalogue []Event

// All returns every event in the order of its definition.
func All() []Event {
	return append([]Event(nil), catalogue...)
}

// Logger writes numbered events.
type Logger struct {
	entry *logrus.Entry
	limit *allowance
}

// Discard returns a Logger that writes nothing, for tests.
func Discard() *Logger {
	lr := logrus.New()
	lr.SetOutput(io.Discard)
	return &Logger{entry: logrus.NewEntry(lr)}
}

// NewLogger returns a Logger that writes to out; format is json or text.
func NewLogger(format, level string, out io.Writer) (*Logger, error) {
	lr := logrus.New()
	lr.SetOutput(out)
	lvl, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	lr.SetLevel(lvl)
	switch format {
	case "json":
		lr.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	case "text":
		lr.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	default:
		return nil, fmt.Errorf("log format %q: want json or text", format)
	}
	return &Logger{entry: logrus.NewEntry(lr)}, nil
}

// With returns a Logger that adds fields to every event.
func (lo *Logger) With(fields logrus.Fields) *Logger {
	return &Logger{entry: lo.entry.WithFields(fields), limit: lo.limit}
}

// Write logs an event.
func (lo *Logger) Write(event Event, fields logrus.Fields) {
	if lo.limit != nil {
		ok, leftOut := lo.limit.take(time.Now(), isImportant(event))
		if leftOut > 0 {
			lo.entry.WithFields(logrus.Fields{"event": LinesLeftOut.Number, "lines": leftOut}).Log(LinesLeftOut.Level, LinesLeftOut.Name)
		}
		if !ok {
			return
		}
	}
	lo.entry.WithFields(fields).WithField("event", event.Number).Log(event.Level, event.Name)
}

func define(number int, name string, level logrus.Level, meaning string) Event {
	event := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue = append(catalogue, event)
	return event
}
