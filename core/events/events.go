// Package events holds the numbered events that the processes log.
//
// Usage:
//
//	log, err := events.NewLogger("json", "info", os.Stderr)
//	log.Write(events.SettingsInForce, logrus.Fields{"version": 7})
//
// The number of an event never changes its meaning. docs/events.md lists all events,
// and a test compares it with this package.
package events

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// timeFormat includes milliseconds, so that the log lines of several processes can
// be sorted together.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Event describes one type of log line.
type Event struct {
	Number  int
	Name    string
	Level   logrus.Level
	Meaning string
}

// Events by range of numbers: 1xx processes, 2xx settings, 3xx members and
// upstreams, 4xx requests and claims, 5xx keepers, 6xx links and credentials.
var (
	ProcessStarted     = define(100, "processStarted", logrus.InfoLevel, "A process is listening on its addresses.")
	ProcessStopping    = define(101, "processStopping", logrus.InfoLevel, "A process is shutting down and rejects new requests.")
	ProcessStopped     = define(102, "processStopped", logrus.InfoLevel, "A process completed its requests and exits.")
	ProcessCut         = define(103, "processCut", logrus.ErrorLevel, "The limit on the duration of a shutdown passed, or a second SIGINT arrived, and requests in flight were aborted.")
	ProcessReloaded    = define(104, "processReloaded", logrus.InfoLevel, "A process reloaded its configuration file.")
	LinesLeftOut       = define(105, "linesLeftOut", logrus.WarnLevel, "A process exceeded its limit of log lines per second; the field lines counts the dropped ones.")
	SettingsInForce    = define(200, "settingsInForce", logrus.InfoLevel, "A version of the settings took effect in this process.")
	SettingsRefused    = define(201, "settingsRefused", logrus.WarnLevel, "Received settings failed the verification of their integrity, origin or version.")
	SettingsAccepted   = define(202, "settingsAccepted", logrus.InfoLevel, "The keepers accepted a change of the settings.")
	SettingsDrift      = define(203, "settingsDrift", logrus.ErrorLevel, "The digest of the settings differs from the signed one; the whole tree is fetched again.")
	SettingsSource     = define(204, "settingsSource", logrus.InfoLevel, "The daemon waits for settings at another keeper than before.")
	MemberChanged      = define(300, "memberChanged", logrus.InfoLevel, "The status of a daemon changed in the member table.")
	UpstreamAnnounced  = define(301, "upstreamAnnounced", logrus.InfoLevel, "An upstream announced itself.")
	UpstreamLeft       = define(302, "upstreamLeft", logrus.InfoLevel, "An upstream announced its departure, or its announcement expired.")
	UpstreamSick       = define(303, "upstreamSick", logrus.WarnLevel, "The gate marked its upstream unhealthy.")
	UpstreamRecovered  = define(304, "upstreamRecovered", logrus.InfoLevel, "Real requests showed that an upstream is healthy again.")
	UpstreamTrial      = define(305, "upstreamTrial", logrus.InfoLevel, "An ejected upstream receives a few trial requests.")
	UpstreamSuspected  = define(306, "upstreamDoubtful", logrus.InfoLevel, "The gate suspects that its upstream is in a failure burst; only requests that may be retried are sent to it.")
	UpstreamTrusted    = define(307, "upstreamTrusted", logrus.InfoLevel, "The gate considers the failure burst of its upstream to be over and trusts it again.")
	UpstreamLimit      = define(308, "upstreamLimit", logrus.InfoLevel, "An upstream named, changed or withdrew a limit on its requests; the field perSecond is -1 if there is none.")
	UpstreamLate       = define(309, "upstreamLate", logrus.InfoLevel, "A delayed announcement of an upstream that has left was ignored.")
	DeparturesUnknown  = define(310, "departuresUnknown", logrus.WarnLevel, "No other process has responded since the daemon started, so it accepts an upstream without knowing whether it has left.")
	RequestFailed      = define(400, "requestFailed", logrus.InfoLevel, "The fleet itself answered a request with an error. The field organisation names its sender if the key is known.")
	HolderReady        = define(401, "holderReady", logrus.InfoLevel, "A claim holder now votes on keys that were created after its start.")
	RequestEnded       = define(402, "requestEnded", logrus.InfoLevel, "A request was answered with the response of an upstream. The field organisation names its sender if the key is known.")
	AttemptEnded       = define(403, "attemptEnded", logrus.InfoLevel, "An attempt at an upstream ended, or the gate of the upstream rejected it.")
	QuotaRefused       = define(423, "quotaRefused", logrus.InfoLevel, "Requests of an organisation were refused over its quota, or while no holder of it was reachable; the fields count the verdicts since the last line.")
	QuotaMembers       = define(424, "quotaMembers", logrus.InfoLevel, "The set of daemons among which quotas are divided changed.")
	KeeperLeader       = define(500, "keeperLeader", logrus.InfoLevel, "This keeper became the leader.")
	KeeperFollower     = define(501, "keeperFollower", logrus.InfoLevel, "This keeper follows a leader or is looking for one.")
	KeeperDiskFailed   = define(502, "keeperDiskFailed", logrus.ErrorLevel, "The disk of the keeper failed; the keeper acknowledges no further entries.")
	KeeperStranger     = define(503, "keeperStranger", logrus.ErrorLevel, "A keeper with a known name but a different identity was rejected.")
	KeeperMembers      = define(504, "keeperMembers", logrus.InfoLevel, "The membership of the keeper group changed.")
	KeeperSnapshot     = define(505, "keeperSnapshot", logrus.InfoLevel, "A snapshot was written or installed.")
	KeeperReconfigures = define(506, "keeperRegroups", logrus.InfoLevel, "The leader adds, promotes or removes a keeper without an operator's command.")
	KeeperReopened     = define(507, "keeperReopened", logrus.InfoLevel, "The keeper reopened its disk after a fault and rejoined the group.")
	KeeperBlocked      = define(508, "keeperBlocked", logrus.WarnLevel, "Storing or applying entries took this keeper long, for example because its disk stalls.")
	KeeperLeaves       = define(509, "keeperLeaves", logrus.InfoLevel, "The keeper shuts down and has asked whether its process may end or is removed from the group first.")
	LinkOpened         = define(600, "linkOpened", logrus.DebugLevel, "A link to another process was opened.")
	LinkLost           = define(601, "linkLost", logrus.InfoLevel, "A link to another process was lost.")
	CredentialsRefused = define(602, "credentialsRefused", logrus.WarnLevel, "A call without valid credentials was rejected.")
	CallPanicked       = define(603, "callPanicked", logrus.ErrorLevel, "The code that served a call of a peer or a request of a caller panicked. Only that call failed, and it may have run. The fields name the call, the value of the panic and its stack.")
	StreamAborted      = define(642, "streamAborted", logrus.InfoLevel, "A body that was passed on as a stream ended before its last byte; the field reason says why.")
	ConnectionsClosed  = define(662, "connectionsClosed", logrus.WarnLevel, "Connections of peers were closed or refused, because memory or connections ran short or because they made no progress; the fields count them by reason. Written at most once a second.")
)

var registry []Event

// All returns all events in the order of their definition.
func All() []Event {
	return append([]Event(nil), registry...)
}

// Logger writes numbered events.
type Logger struct {
	entry *logrus.Entry
	limit *rateLimiter
}

// Discard returns a Logger that writes nothing, for tests.
func Discard() *Logger {
	lr := logrus.New()
	lr.SetOutput(io.Discard)
	return &Logger{entry: logrus.NewEntry(lr)}
}

// NewLogger returns a Logger that writes to out. The format is json or text.
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

// With returns a Logger that adds fields to every event and shares the rate limit.
func (lo *Logger) With(fields logrus.Fields) *Logger {
	return &Logger{entry: lo.entry.WithFields(fields), limit: lo.limit}
}

// Write logs an event, unless a rate limit drops it. The first call after a second
// with dropped lines also logs how many there were.
func (lo *Logger) Write(event Event, fields logrus.Fields) {
	if lo.limit != nil {
		ok, dropped := lo.limit.allow(time.Now(), isImportant(event))
		if dropped > 0 {
			lo.entry.WithFields(logrus.Fields{"event": LinesLeftOut.Number, "lines": dropped}).Log(LinesLeftOut.Level, LinesLeftOut.Name)
		}
		if !ok {
			return
		}
	}
	lo.entry.WithFields(fields).WithField("event", event.Number).Log(event.Level, event.Name)
}

func define(number int, name string, level logrus.Level, meaning string) Event {
	event := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	registry = append(registry, event)
	return event
}
