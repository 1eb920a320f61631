// Package design describes the HTTP services of cactusstream for goa.
//
// Usage: edit this package, then run `make generate`, which rewrites core/gen.
// The generated code is committed, so a build needs no generator.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:staticcheck // The goa DSL is written to be dot-imported.
)

var _ = API("cactusstream", func() {
	Title("cactusstream")
	Description("Operator, platform and upstream services of a cactusstream fleet.")
})

// Edit is one key of one node that a change sets or unsets.
var Edit = Type("Edit", func() {
	Attribute("path", String, "Node, as firm/place/service/kind; root for the root.", func() { MaxLength(512) })
	Attribute("key", String, "Key of the node.", func() { MaxLength(64) })
	Attribute("value", String, "New value; absent when unset.", func() { MaxLength(4096) })
	Attribute("unset", Boolean, "Whether the key is removed, so that it inherits.", func() { Default(false) })
	Required("path", "key")
})

// AppliedEdit is an edit with the value that it replaced.
var AppliedEdit = Type("AppliedEdit", func() {
	Extend(Edit)
	Attribute("before", String, "Value before the change; absent when the key was unset.")
})

// Change is one accepted change of the settings tree.
var Change = Type("Change", func() {
	Attribute("version", UInt64, "Version of the tree that the change made.")
	Attribute("id", String, "Change id.")
	Attribute("from", UInt64, "Version that the change was made against.")
	Attribute("author", String, "Who made the change.")
	Attribute("reason", String, "Why the change was made.")
	Attribute("time", String, "When the change was accepted (RFC 3339).")
	Attribute("edits", ArrayOf(AppliedEdit), "What the change did.")
	Required("version", "id", "from", "author", "reason", "time", "edits")
})

// Explanation says where one effective value comes from.
var Explanation = Type("Explanation", func() {
	Attribute("key", String, "Key.")
	Attribute("value", String, "Effective value.")
	Attribute("level", String, "Node that set the value.")
	Attribute("version", UInt64, "Version of the change that set it.")
	Attribute("author", String, "Who set it.")
	Attribute("reason", String, "Why it was set.")
	Attribute("time", String, "When it was set (RFC 3339).")
	Required("key", "value", "level", "version", "author", "reason", "time")
})

// ConflictError is the answer to a change that lost a race.
var ConflictError = Type("ConflictError", func() {
	Attribute("message", String, "What happened.")
	Attribute("version", UInt64, "Version in force.")
	Attribute("lostTo", Change, "Change that won.")
	Required("message", "version")
})

// NotLeaderError names the keeper that takes changes.
var NotLeaderError = Type("NotLeaderError", func() {
	Attribute("message", String, "What happened.")
	Attribute("leader", String, "Operator address of the leader; empty when unknown.")
	Required("message", "leader")
})

// RefusedError is a refusal with every fault found.
var RefusedError = Type("RefusedError", func() {
	ErrorName("name", String, "Name of the error.")
	Attribute("message", String, "What happened.")
	Attribute("faults", ArrayOf(String), "Every fault found.")
	Attribute("outcome", String, "notRun or unknown.")
	Required("name", "message", "outcome")
})

var _ = Service("settings", func() {
	Description("Keeps the settings tree; served by keepers.")
	Error("conflict", ConflictError)
	Error("notLeader", NotLeaderError)
	Error("invalid", RefusedError)
	Error("unavailable", RefusedError)
	HTTP(func() {
		Response("conflict", StatusConflict)
		Response("notLeader", StatusPreconditionFailed)
		Response("invalid", StatusBadRequest)
		Response("unavailable", StatusServiceUnavailable)
	})
	Method("apply", func() {
		Description("Apply a change, whole or not at all. A resend of a change id gets the first answer.")
		Payload(func() {
			Attribute("id", String, "Change id.", func() { MinLength(1); MaxLength(128) })
			Attribute("expectVersion", UInt64, "Version that the change was made against.")
			Attribute("author", String, "Who makes the change.", func() { MaxLength(128) })
			Attribute("reason", String, "Why.", func() { MaxLength(1024) })
			Attribute("edits", ArrayOf(Edit), "Edits.", func() { MinLength(1); MaxLength(100000) })
			Required("id", "author", "reason", "edits")
		})
		Result(func() {
			Attribute("change", Change)
			Attribute("duplicate", Boolean, "Whether the id had been accepted before.")
			Required("change", "duplicate")
		})
		HTTP(func() { POST("/v1/settings/changes") })
	})
	Method("tree", func() {
		Description("The tree as INI, at a version (0 for the newest).")
		Payload(func() {
			Attribute("version", UInt64, func() { Default(0) })
			Attribute("fresh", Boolean, "Whether a quorum confirms that nothing newer was accepted.", func() { Default(false) })
		})
		Result(func() {
			Attribute("version", UInt64)
			Attribute("ini", String)
			Attribute("digest", String, "SHA-256 of the tree, hexadecimal.")
			Required("version", "ini", "digest")
		})
		HTTP(func() {
			GET("/v1/settings/tree")
			Param("version")
			Param("fresh")
		})
	})
	Method("log", func() {
		Description("Accepted changes, newest first.")
		Payload(func() {
			Attribute("before", UInt64, "Only changes below this version; 0 for all.", func() { Default(0) })
			Attribute("limit", Int, func() { Default(20); Minimum(1); Maximum(1000) })
		})
		Result(ArrayOf(Change))
		HTTP(func() {
			GET("/v1/settings/log")
			Param("before")
			Param("limit")
		})
	})
	Method("explain", func() {
		Description("Where each effective value of a node comes from.")
		Payload(func() {
			Attribute("path", String, func() { MaxLength(512) })
			Required("path")
		})
		Result(ArrayOf(Explanation))
		HTTP(func() {
			GET("/v1/settings/explain")
			Param("path")
		})
	})
})

// Keeper is one member of the keepers' group.
var Keeper = Type("Keeper", func() {
	Attribute("id", String)
	Attribute("peerAddress", String)
	Attribute("operatorAddress", String)
	Attribute("voter", Boolean)
	Attribute("leader", Boolean)
	Attribute("matchIndex", UInt64, "Newest log index known to be stored there; known to the leader only.")
	Attribute("lastContactMs", Int64, "Milliseconds since its last answer; -1 when unknown.")
	Required("id", "peerAddress", "operatorAddress", "voter", "leader", "matchIndex", "lastContactMs")
})

var _ = Service("keepers", func() {
	Description("The keepers' group; served by keepers.")
	Error("notLeader", NotLeaderError)
	Error("refused", RefusedError)
	HTTP(func() {
		Response("notLeader", StatusPreconditionFailed)
		Response("refused", StatusConflict)
	})
	Method("status", func() {
		Result(func() {
			Attribute("self", String)
			Attribute("term", UInt64)
			Attribute("commitIndex", UInt64)
			Attribute("version", UInt64)
			Attribute("keepers", ArrayOf(Keeper))
			Required("self", "term", "commitIndex", "version", "keepers")
		})
		HTTP(func() { GET("/v1/keepers") })
	})
	Method("change", func() {
		Description("Add a learner, promote it, or remove a member; one step at a time.")
		Payload(func() {
			Attribute("operation", String, func() { Enum("add", "promote", "remove") })
			Attribute("id", String, func() { MinLength(1); MaxLength(128) })
			Attribute("peerAddress", String, func() { Default(""); MaxLength(128) })
			Attribute("operatorAddress", String, func() { Default(""); MaxLength(128) })
			Required("operation", "id")
		})
		Result(func() {
			Attribute("index", UInt64, "Log index of the change.")
			Required("index")
		})
		HTTP(func() { POST("/v1/keepers/changes") })
	})
})

var _ = Service("process", func() {
	Description("Every process: status, state dump and metrics.")
	Method("status", func() {
		Result(func() {
			Attribute("program", String)
			Attribute("id", String)
			Attribute("zone", String, "Availability zone.")
			Attribute("state", String, "serving or stopping.")
			Attribute("settingsVersion", UInt64)
			Attribute("settingsDigest", String)
			Attribute("uptimeSeconds", Int64)
			Required("program", "id", "zone", "state", "settingsVersion", "settingsDigest", "uptimeSeconds")
		})
		HTTP(func() { GET("/v1/status") })
	})
	Method("dump", func() {
		Description("The state of the process.")
		Result(MapOf(String, Any))
		HTTP(func() { GET("/v1/dump") })
	})
	Method("metrics", func() {
		Description("Metrics as JSON; /metrics serves them as Prometheus text.")
		Result(MapOf(String, Any))
		HTTP(func() { GET("/v1/metrics") })
	})
})

// Member is one daemon as another daemon sees it.
var Member = Type("Member", func() {
	Attribute("id", String)
	Attribute("zone", String)
	Attribute("peerAddress", String)
	Attribute("operatorAddress", String)
	Attribute("status", String, "alive, suspect, dead or left.")
	Attribute("incarnation", UInt64)
	Attribute("settingsVersion", UInt64)
	Required("id", "zone", "peerAddress", "operatorAddress", "status", "incarnation", "settingsVersion")
})

// Upstream is one endpoint as a daemon sees it.
var Upstream = Type("Upstream", func() {
	Attribute("id", String)
	Attribute("service", String)
	Attribute("daemon", String, "Daemon beside the endpoint.")
	Attribute("zone", String)
	Attribute("address", String)
	Attribute("slots", Int)
	Attribute("state", String, "cold, ready, draining, trial, ejected, heldByFloor or unreachable.")
	Attribute("reason", String, "Why the endpoint is in its state.")
	Attribute("since", String, "Since when (RFC 3339).")
	Attribute("retryAt", String, "When an ejected endpoint is tried again (RFC 3339).")
	Attribute("floorSlots", Int, "Slots of the service that must stay in use.")
	Attribute("spareSlots", Int, "Slots that ejection may still take from the service.")
	Required("id", "service", "daemon", "zone", "address", "slots", "state", "reason", "since", "retryAt", "floorSlots", "spareSlots")
})

var _ = Service("fleet", func() {
	Description("The fleet as one daemon sees it; served by daemons.")
	Method("members", func() {
		Result(ArrayOf(Member))
		HTTP(func() { GET("/v1/fleet/members") })
	})
	Method("upstreams", func() {
		Result(ArrayOf(Upstream))
		HTTP(func() { GET("/v1/fleet/upstreams") })
	})
})

var _ = Service("announce", func() {
	Description("Upstreams announce themselves to the daemon beside them.")
	Error("unknownUpstream", ErrorResult)
	Error("refused", ErrorResult)
	HTTP(func() {
		Response("unknownUpstream", StatusNotFound)
		Response("refused", StatusConflict)
	})
	Method("announce", func() {
		Description("Announce an upstream, or repeat the announcement; idempotent.")
		Payload(func() {
			Attribute("id", String, "Name of the upstream, unique on its VM.", func() { Pattern("^[A-Za-z0-9._-]{1,64}$") })
			Attribute("service", String, func() { Pattern("^[A-Za-z0-9._-]{1,64}$") })
			Attribute("address", String, "IP address and port.", func() { MaxLength(64) })
			Attribute("slots", Int, "Requests that it runs at once.", func() { Minimum(1); Maximum(10000) })
			Attribute("connections", Int, "Connections that it accepts.", func() { Minimum(1); Maximum(100000) })
			Attribute("coldMs", Int, "Milliseconds until it is warm.", func() { Default(0); Minimum(0); Maximum(3600000) })
			Required("id", "service", "address", "slots", "connections")
		})
		Result(func() {
			Attribute("leaseMs", Int, "The announcement is repeated before this time has gone by.")
			Required("leaseMs")
		})
		HTTP(func() { POST("/v1/upstreams") })
	})
	Method("report", func() {
		Description("Report load; also renews the announcement.")
		Payload(func() {
			Attribute("id", String, func() { MaxLength(64) })
			Attribute("busy", Int, "Slots in use.", func() { Minimum(0); Maximum(100000) })
			Required("id", "busy")
		})
		HTTP(func() {
			POST("/v1/upstreams/{id}/load")
			Response(StatusNoContent)
		})
	})
	Method("leave", func() {
		Description("Announce that the upstream is leaving; idempotent.")
		Payload(func() {
			Attribute("id", String, func() { MaxLength(64) })
			Required("id")
		})
		Result(func() {
			Attribute("inFlight", Int, "Requests that still run on the upstream.")
			Required("inFlight")
		})
		HTTP(func() { POST("/v1/upstreams/{id}/leave") })
	})
})
