package transport

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestMetricsAreServed checks that a controller serves its metrics once it has run a step.
func TestMetricsAreServed(t *testing.T) {
	url := "http://" + startController(t) + "/metrics"
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(10 * time.Second)
	for {
		text := fetch(t, client, url)
		missing := ""
		for _, metric := range []string{
			`pipitlatch_commands_sent_total{operation="start"} 0`,
			"pipitlatch_repeated_starts_total 0",
			"pipitlatch_duplicate_attempts_total 0",
			`pipitlatch_attempts_ended_total{evidence="machine removed"} 0`,
			"pipitlatch_silent_machine_replica_seconds_total 0",
			"pipitlatch_cluster_leader 0",
		} {
			if !strings.Contains(text, metric+"\n") {
				missing = metric
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no %s in:\n%s", missing, text)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func fetch(t *testing.T, client *http.Client, url string) string {
	t.Helper()
	response, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, response.Body)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
