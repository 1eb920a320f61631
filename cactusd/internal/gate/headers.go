package gate

import "cactusstream.example/core/dialect"

// HeaderAttempt is the request header that upstreams of the default dialect
// copy into their responses, so that a response can be matched to its attempt.
const HeaderAttempt = dialect.HeaderAttempt

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", HeaderAttempt}
