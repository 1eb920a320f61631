package e2e_test

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// resentKey is an idempotency key that was sent through several daemons.
type resentKey struct {
	key string
	// lastNotRun reports whether the last response had outcome notRun.
	lastNotRun bool
}

// resendKeys sends each key four times through the daemons in turn, regardless of
// the responses: three times without a pause and once 100 ms later.
func resendKeys(ctx context.Context, fl *fleet) []resentKey {
	client := &http.Client{Timeout: 3 * time.Second}
	targets := fl.callerAddresses()
	var keys []resentKey
	for number := 0; ctx.Err() == nil; number++ {
		key := resentKey{key: uuid.Must(uuid.NewV7()).String()}
		for attempt := range 4 {
			outcome, ok := sendKey(client, targets[(number+attempt)%len(targets)], key.key)
			key.lastNotRun = ok && outcome == "notRun"
			if attempt == 2 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		keys = append(keys, key)
	}
	return keys
}

// sendKey sends an order with a key. It returns the outcome, and false if there is
// no response.
func sendKey(client *http.Client, target, key string) (string, bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+target+"/corte/order", http.NoBody)
	if err != nil {
		return "", false
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return "", false
	}
	_ = resp.Body.Close()
	return resp.Header.Get("Cactus-Outcome"), true
}
