package story_test

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// resent is a key that was sent through several daemons.
type resent struct {
	key string
	// notRunLast says that the last answer promised that the key had not run.
	notRunLast bool
}

// resendKeys sends each key up to four times, at once and later, through
// daemon after daemon, whatever the answers are.
func resendKeys(ctx context.Context, fl *fleet) []resent {
	client := &http.Client{Timeout: 3 * time.Second}
	targets := fl.callers()
	var keys []resent
	for number := 0; ctx.Err() == nil; number++ {
		key := resent{key: uuid.Must(uuid.NewV7()).String()}
		for attempt := range 4 {
			known, ok := sendKey(client, targets[(number+attempt)%len(targets)], key.key)
			key.notRunLast = ok && known == "notRun"
			if attempt == 2 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		keys = append(keys, key)
	}
	return keys
}

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
