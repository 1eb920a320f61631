package events_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"cactusstream.example/core/events"
)

var update = flag.Bool("update", false, "rewrite docs/events.md from the code")

const pagePath = "../../docs/events.md"

// eventsPage renders docs/events.md.
func eventsPage() string {
	var text strings.Builder
	text.WriteString("# Events\n\nEvery line that a process logs is a numbered event with fields. The numbers never\nchange their meaning. A test keeps this page equal to core/events.\n\n| number | name | level | meaning |\n|---|---|---|---|\n")
	for _, event := range events.All() {
		fmt.Fprintf(&text, "| %d | %s | %s | %s |\n", event.Number, event.Name, event.Level, event.Meaning)
	}
	return text.String()
}

func TestEventsPageMatchesCode(t *testing.T) {
	if *update {
		if err := os.WriteFile(pagePath, []byte(eventsPage()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	is := is.New(t)
	is.Equal(string(data), eventsPage())
}

func TestNumbersAreUnique(t *testing.T) {
	seen := make(map[int]string)
	for _, event := range events.All() {
		if other, taken := seen[event.Number]; taken {
			t.Errorf("%d is both %s and %s", event.Number, other, event.Name)
		}
		seen[event.Number] = event.Name
	}
}

func TestEventIsWrittenWithItsNumber(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := events.NewLogger("json", "info", &out)
	is.NoErr(err)
	log.With(logrus.Fields{"id": "d1"}).Write(events.SettingsInForce, logrus.Fields{"version": 7})
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["event"], float64(200))
	is.Equal(line["msg"], "settingsInForce")
	is.Equal(line["id"], "d1")
	_, err = events.NewLogger("xml", "info", &out)
	is.True(err != nil)
}
