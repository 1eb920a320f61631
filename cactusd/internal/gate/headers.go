package gate

import "cactusstream.example/core/dialect"

// HeaderAttempt is the header that upstreams of the product's own contract repeat.
const HeaderAttempt = dialect.HeaderAttempt

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", HeaderAttempt}
