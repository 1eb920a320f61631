// Package design defines the HTTP API of cactusstream in the DSL of goa.
//
// Usage: edit this package, then run `make generate`, which rewrites core/gen.
// The generated code is committed, so that builds don't need the generator.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:staticcheck // The goa DSL is designed for dot imports.
)

var _ = API("cactusstream", func() {
	Title("cactusstream")
	Description("API of a cactusstream fleet for operators, platforms and upstreams.")
})

// Edit sets or unsets one key of one node of the settings tree.
var Edit = Type("Edit", func() {
	Attribute("path", String, "Path of the node: firm/place/service/kind, or root for the root node.", func() { MaxLength(512) })
	Attribute("key", String, "Key to set or unset.", func() { MaxLength(64) })
	Attribute("value", String, "New value. Absent if the key is unset.", func() { MaxLength(4096) })
	Attribute("unset", Boolean, "Whether to remove the key, so that its value is inherited.", func() { Default(false) })
	Required("path", "key")
})

// AppliedEdit is an Edit with the value that it replaced.
var AppliedEdit = Type("AppliedEdit", func() {
	Extend(Edit)
	Attribute("before", String, "Value before the change. Absent if the key was unset.")
})

// Change is an accepted change of the settings tree.
var Change = Type("Change", func() {
	Attribute("version", UInt64, "Version of the tree after the change.")
	Attribute("id", String, "Id of the change.")
	Attribute("from", UInt64, "Version of the tree on which the change is based.")
	Attribute("author", String, "Author of the change.")
	Attribute("reason", String, "Reason for the change.")
	Attribute("time", String, "Time at which the change was accepted (RFC 3339).")
	Attribute("edits", ArrayOf(AppliedEdit), "Edits of the change, with the replaced values.")
	Required("version", "id", "from", "author", "reason", "time", "edits")
})

// Explanation states which change set an effective value, and at which node of the
// tree.
var Explanation = Type("Explanation", func() {
	Attribute("key", String, "Key of the setting.")
	Attribute("value", String, "Effective value.")
	Attribute("level", String, "Path of the node at which the value is set.")
	Attribute("version", UInt64, "Version of the change that set the value.")
	Attribute("author", String, "Author of the change.")
	Attribute("reason", String, "Reason for the change.")
	Attribute("time", String, "Time of the change (RFC 3339).")
	Required("key", "value", "level", "version", "author", "reason", "time")
})

// ConflictError is returned for a change that is based on an outdated version.
var ConflictError = Type("ConflictError", func() {
	Attribute("message", String, "Description of the error.")
	Attribute("version", UInt64, "Current version of the tree.")
	Attribute("lostTo", Change, "Change that was accepted instead.")
	Required("message", "version")
})

// NotLeaderError is returned by a keeper that is not the leader. It names the
// leader, which accepts changes.
var NotLeaderError = Type("NotLeaderError", func() {
	Attribute("message", String, "Description of the error.")
	Attribute("leader", String, "Operator address of the leader. Empty if unknown.")
	Required("message", "leader")
})

// RefusedError is returned for a rejected request, with all errors found in it.
var RefusedError = Type("RefusedError", func() {
	ErrorName("name", String, "Name of the error.")
	Attribute("message", String, "Description of the error.")
	Attribute("faults", ArrayOf(String), "All errors found in the request.")
	Attribute("outcome", String, "notRun if the request was not executed, otherwise unknown.")
	Required("name", "message", "outcome")
})

var _ = Service("settings", func() {
	Description("Settings tree, served by the keepers.")
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
		Description("Apply a change atomically. A request with the id of an accepted change returns that change.")
		Payload(func() {
			Attribute("id", String, "Id of the change.", func() { MinLength(1); MaxLength(128) })
			Attribute("expectVersion", UInt64, "Version of the tree on which the change is based.")
			Attribute("author", String, "Author of the change.", func() { MaxLength(128) })
			Attribute("reason", String, "Reason for the change.", func() { MaxLength(1024) })
			Attribute("edits", ArrayOf(Edit), "Edits of the change.", func() { MinLength(1); MaxLength(100000) })
			Required("id", "author", "reason", "edits")
		})
		Result(func() {
			Attribute("change", Change)
			Attribute("duplicate", Boolean, "Whether a change with this id was accepted before.")
			Required("change", "duplicate")
		})
		HTTP(func() { POST("/v1/settings/changes") })
	})
	Method("tree", func() {
		Description("Return the tree in INI format, at a version (0 for the newest).")
		Payload(func() {
			Attribute("version", UInt64, func() { Default(0) })
			Attribute("fresh", Boolean, "Whether to confirm with a quorum that no newer change was accepted.", func() { Default(false) })
		})
		Result(func() {
			Attribute("version", UInt64)
			Attribute("ini", String)
			Attribute("digest", String, "SHA-256 digest of the tree in hexadecimal.")
			Required("version", "ini", "digest")
		})
		HTTP(func() {
			GET("/v1/settings/tree")
			Param("version")
			Param("fresh")
		})
	})
	Method("log", func() {
		Description("List accepted changes, newest first.")
		Payload(func() {
			Attribute("before", UInt64, "Only list changes with a lower version. 0 lists all.", func() { Default(0) })
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
		Description("Return which change set each effective value of a node, and on which node of the tree it is set.")
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

// Keeper is one member of the keeper group.
var Keeper = Type("Keeper", func() {
	Attribute("id", String)
	Attribute("peerAddress", String)
	Attribute("operatorAddress", String)
	Attribute("voter", Boolean)
	Attribute("leader", Boolean)
	Attribute("matchIndex", UInt64, "Highest log index known to be stored by the keeper. Known to the leader only.")
	Attribute("lastContactMs", Int64, "Milliseconds since the last answer of the keeper. -1 if unknown.")
	Required("id", "peerAddress", "operatorAddress", "voter", "leader", "matchIndex", "lastContactMs")
})

var _ = Service("keepers", func() {
	Description("Members of the keeper group, served by the keepers.")
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
		Description("Change the keeper group by one step: add a learner, promote a learner to voter, or remove a member.")
		Payload(func() {
			Attribute("operation", String, func() { Enum("add", "promote", "remove") })
			Attribute("id", String, func() { MinLength(1); MaxLength(128) })
			Attribute("peerAddress", String, func() { Default(""); MaxLength(128) })
			Attribute("operatorAddress", String, func() { Default(""); MaxLength(128) })
			Required("operation", "id")
		})
		Result(func() {
			Attribute("index", UInt64, "Log index of the membership change.")
			Required("index")
		})
		HTTP(func() { POST("/v1/keepers/changes") })
	})
})

var _ = Service("process", func() {
	Description("Status, state dump and metrics, served by every process.")
	Method("status", func() {
		Result(func() {
			Attribute("program", String)
			Attribute("id", String)
			Attribute("zone", String, "Availability zone.")
			Attribute("state", String, "State of the process: serving or stopping.")
			Attribute("settingsVersion", UInt64)
			Attribute("settingsDigest", String)
			Attribute("uptimeSeconds", Int64)
			Required("program", "id", "zone", "state", "settingsVersion", "settingsDigest", "uptimeSeconds")
		})
		HTTP(func() { GET("/v1/status") })
	})
	Method("dump", func() {
		Description("Return the internal state of the process, for diagnosis.")
		Result(MapOf(String, Any))
		HTTP(func() { GET("/v1/dump") })
	})
	Method("metrics", func() {
		Description("Return the metrics as JSON. /metrics serves them in the Prometheus text format.")
		Result(MapOf(String, Any))
		HTTP(func() { GET("/v1/metrics") })
	})
})

// Member is one daemon of the fleet in the view of another daemon.
var Member = Type("Member", func() {
	Attribute("id", String)
	Attribute("zone", String)
	Attribute("peerAddress", String)
	Attribute("operatorAddress", String)
	Attribute("status", String, "Membership status: alive, suspect, dead or left.")
	Attribute("incarnation", UInt64)
	Attribute("settingsVersion", UInt64)
	Required("id", "zone", "peerAddress", "operatorAddress", "status", "incarnation", "settingsVersion")
})

// Upstream is one upstream of the fleet in the view of a daemon.
var Upstream = Type("Upstream", func() {
	Attribute("id", String)
	Attribute("service", String)
	Attribute("daemon", String, "Id of the daemon on the same VM as the upstream.")
	Attribute("zone", String)
	Attribute("address", String)
	Attribute("slots", Int)
	Attribute("state", String, "State of the upstream: cold, ready, draining, trial, ejected, heldByFloor or unreachable.")
	Attribute("reason", String, "Reason for the state.")
	Attribute("since", String, "Time at which the state began (RFC 3339).")
	Attribute("retryAt", String, "Time of the next trial request to an ejected upstream (RFC 3339).")
	Attribute("floorSlots", Int, "Slots of the service that ejection must leave in use.")
	Attribute("spareSlots", Int, "Slots of the service that may still be ejected.")
	Required("id", "service", "daemon", "zone", "address", "slots", "state", "reason", "since", "retryAt", "floorSlots", "spareSlots")
})

var _ = Service("fleet", func() {
	Description("Members and upstreams of the fleet in the view of one daemon, served by daemons.")
	Method("members", func() {
		Result(ArrayOf(Member))
		HTTP(func() { GET("/v1/fleet/members") })
	})
	Method("upstreams", func() {
		Result(ArrayOf(Upstream))
		HTTP(func() { GET("/v1/fleet/upstreams") })
	})
})

// WhereCandidate is an endpoint to which a request may go, in the view of one daemon.
var WhereCandidate = Type("WhereCandidate", func() {
	Attribute("upstream", String)
	Attribute("daemon", String, "Id of the daemon on the same VM as the upstream.")
	Attribute("zone", String)
	Attribute("state", String, "State of the upstream, as in the list of upstreams.")
	Attribute("group", String, "preferred, suspected, unreachable or excluded.")
	Attribute("asked", Boolean, "Whether its gate was asked for a wait estimate.")
	Attribute("waitMs", Int64, "Estimated wait for a slot.")
	Attribute("durationMs", Int64, "Expected duration of the request; 0 if unknown.")
	Attribute("costMs", Int64, "Wait that the endpoint must save for its zone and its state.")
	Attribute("inTime", Boolean, "Whether the request is expected to end in time there.")
	Attribute("chosen", Boolean, "Whether the request would go there.")
	Attribute("reason", String, "Why the endpoint was chosen or not.")
	Required("upstream", "daemon", "zone", "state", "group", "asked", "waitMs", "durationMs", "costMs", "inTime", "chosen", "reason")
})

// WhereHolder is a daemon that holds a part of a quota.
var WhereHolder = Type("WhereHolder", func() {
	Attribute("daemon", String)
	Attribute("zone", String)
	Attribute("answered", Boolean, "Whether what it has is known.")
	Attribute("left", Float64, "Number of tokens that it has; 0 if unknown.")
	Attribute("retryAfterMs", Int64, "When its next token is expected; 0 if it has one.")
	Attribute("note", String, "Why what it has is unknown, or that it holds nothing.")
	Required("daemon", "zone", "answered", "left", "retryAfterMs", "note")
})

// WhereAdmission tells whether a request is admitted.
var WhereAdmission = Type("WhereAdmission", func() {
	Attribute("outcome", String, "admitted, rejected, or unknown if a holder that can't be asked might admit the request.")
	Attribute("status", Int, "HTTP status of the rejection; 0 for none.")
	Attribute("reason", String, "Reason of the rejection.")
	Attribute("detail", String)
	Attribute("retryAfterMs", Int64, "When a request is likely to be admitted; 0 if unknown.")
	Attribute("note", String, "Why no organisation is known, if the request names one.")
	Attribute("organisation", String, "Name of the organisation that sends the request, or empty.")
	Attribute("rank", Int, "Rank of the organisation.")
	Attribute("rate", Float64, "Limit on requests a second; 0 for none.")
	Attribute("burst", Float64)
	Attribute("holderRate", Float64, "Rate of each holder's part.")
	Attribute("holderDepth", Float64, "Number of tokens that each holder can have.")
	Attribute("left", Float64, "Number of tokens that the holders that answered have.")
	Attribute("answered", Int, "Number of holders that answered.")
	Attribute("holders", ArrayOf(WhereHolder))
	Required("outcome", "status", "reason", "detail", "retryAfterMs", "note", "organisation", "rank", "rate", "burst", "holderRate", "holderDepth", "left", "answered", "holders")
})

// QuotaLevel is what the holders of an organisation's quota have.
var QuotaLevel = Type("QuotaLevel", func() {
	Attribute("organisation", String)
	Attribute("left", Float64, "Number of tokens that the holders that answered have.")
	Attribute("holders", Int)
	Attribute("answered", Int, "Number of holders that answered.")
	Required("organisation", "left", "holders", "answered")
})

var _ = Service("placement", func() {
	Description("Explanation of where a daemon would send a request, served by daemons.")
	Error("noRoute", ErrorResult)
	Error("noSettings", ErrorResult)
	Error("unknownOrganisation", ErrorResult)
	Error("badKey", ErrorResult)
	HTTP(func() {
		Response("noRoute", StatusNotFound)
		Response("noSettings", StatusServiceUnavailable)
		Response("unknownOrganisation", StatusNotFound)
		Response("badKey", StatusUnprocessableEntity)
	})
	Method("where", func() {
		Description("Return where a request that arrives now would go, and why. Nothing is sent to an upstream.")
		Payload(func() {
			Attribute("method", String, func() { Default("GET"); MaxLength(16) })
			Attribute("host", String, func() { Default(""); MaxLength(256) })
			Attribute("path", String, func() { MinLength(1); MaxLength(8192) })
			Attribute("firm", String, func() { Default(""); MaxLength(256) })
			Attribute("place", String, func() { Default(""); MaxLength(256) })
			Attribute("bodyBytes", Int, "Size of the body of the request.", func() { Default(0); Minimum(0) })
			Attribute("deadlineMs", Int, "Deadline that the caller sets; 0 for none.", func() { Default(0); Minimum(0); Maximum(86400000) })
			Attribute("organisation", String, "Name of the organisation that sends the request with one of its keys.", func() { Default(""); MaxLength(256) })
			// Without a pattern: the error of goa would repeat the value, which may be a key.
			Attribute("keyDigest", String, "Digest of the key that is sent, as in the settings.", func() { Default("") })
			Required("path")
		})
		Result(func() {
			Attribute("firm", String)
			Attribute("service", String)
			Attribute("kind", String)
			Attribute("rank", Int)
			Attribute("settingsVersion", UInt64)
			Attribute("remainingMs", Int64, "Time until the deadline.")
			Attribute("expectedBytes", Int64, "Expected size of the request and its answer.")
			Attribute("verdict", String, "What would happen to the request.")
			Attribute("admission", WhereAdmission, "Whether the request is admitted. Older daemons leave it out.")
			Attribute("candidates", ArrayOf(WhereCandidate))
			Required("firm", "service", "kind", "rank", "settingsVersion", "remainingMs", "expectedBytes", "verdict", "candidates")
		})
		HTTP(func() {
			GET("/v1/where")
			Param("method")
			Param("host")
			Param("path")
			Param("firm")
			Param("place")
			Param("bodyBytes")
			Param("deadlineMs")
			Param("organisation")
			Header("keyDigest:Cactus-Key-Digest")
		})
	})
	Method("quotas", func() {
		Description("Return what the holders of the quotas of some organisations have. Takes nothing. Organisations without a limit, and those that the daemon doesn't know, are left out.")
		Payload(func() {
			Attribute("organisations", ArrayOf(String), func() { MaxLength(100) })
			Required("organisations")
		})
		Result(ArrayOf(QuotaLevel))
		HTTP(func() { POST("/v1/quotas") })
	})
})

var _ = Service("announce", func() {
	Description("Registration of upstreams at the daemon on their VM.")
	Error("unknownUpstream", ErrorResult)
	Error("refused", ErrorResult)
	HTTP(func() {
		Response("unknownUpstream", StatusNotFound)
		Response("refused", StatusConflict)
	})
	Method("announce", func() {
		Description("Announce an upstream or renew its announcement. Idempotent.")
		Payload(func() {
			Attribute("id", String, "Id of the upstream, unique on its VM.", func() { Pattern("^[A-Za-z0-9._-]{1,64}$") })
			Attribute("service", String, func() { Pattern("^[A-Za-z0-9._-]{1,64}$") })
			Attribute("address", String, "IP address and port.", func() { MaxLength(64) })
			Attribute("slots", Int, "Number of requests that the upstream runs concurrently.", func() { Minimum(1); Maximum(10000) })
			Attribute("connections", Int, "Number of connections that the upstream accepts.", func() { Minimum(1); Maximum(100000) })
			Attribute("coldMs", Int, "Time in milliseconds until the upstream is warm.", func() { Default(0); Minimum(0); Maximum(3600000) })
			Required("id", "service", "address", "slots", "connections")
		})
		Result(func() {
			Attribute("leaseMs", Int, "Time in milliseconds within which the announcement must be renewed.")
			Required("leaseMs")
		})
		HTTP(func() { POST("/v1/upstreams") })
	})
	Method("report", func() {
		Description("Report the load of an upstream and renew its announcement.")
		Payload(func() {
			Attribute("id", String, func() { MaxLength(64) })
			Attribute("busy", Int, "Number of slots in use.", func() { Minimum(0); Maximum(100000) })
			Required("id", "busy")
		})
		HTTP(func() {
			POST("/v1/upstreams/{id}/load")
			Response(StatusNoContent)
		})
	})
	Method("leave", func() {
		Description("Announce that an upstream is leaving. Idempotent.")
		Payload(func() {
			Attribute("id", String, func() { MaxLength(64) })
			Required("id")
		})
		Result(func() {
			Attribute("inFlight", Int, "Number of requests still running on the upstream.")
			Required("inFlight")
		})
		HTTP(func() { POST("/v1/upstreams/{id}/leave") })
	})
})
