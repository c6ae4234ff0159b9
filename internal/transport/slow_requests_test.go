package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestUnfinishedRequestsKeepNobodyOut guards against silent and half-sent connections that keep agents, users and
// health checks from being served.
func TestUnfinishedRequestsKeepNobodyOut(t *testing.T) {
	const (
		connections = 300 // three times max_connections
		answeredIn  = 2 * time.Second
	)
	for _, c := range []struct{ name, sent string }{
		{"nothing sent", ""},
		{"half a header", "POST /submissions HTTP/1.1\r\nHost: n\r\nContent-Le"},
		{"half a body", "POST /submissions HTTP/1.1\r\nHost: n\r\nContent-Length: 500\r\n\r\n{\"ref\":"},
		{"half a heartbeat", "POST /v1/report HTTP/1.1\r\nHost: n\r\nContent-Length: 500\r\n\r\n{\"host\":"},
		{"not HTTP", "\x16\x03\x01\x02\x00\x01"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := startController(t)
			agent := dial(t, addr)
			if status := request(t, agent, "/v1/report", answeredIn); status != http.StatusBadRequest {
				t.Fatalf("status %d of a malformed heartbeat", status)
			}
			for range connections {
				_, _ = io.WriteString(dial(t, addr), c.sent) // the controller may have refused the connection
			}
			time.Sleep(2 * requestGrace)
			if status := request(t, agent, "/v1/report", answeredIn); status != http.StatusBadRequest {
				t.Errorf("status %d on a connection that was there before", status)
			}
			for _, path := range []string{"/v1/report", "/up", "/submissions"} {
				if status := request(t, dial(t, addr), path, answeredIn); status == 0 {
					t.Errorf("%s is not answered beside %d unfinished requests", path, connections)
				}
			}
		})
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the controller may have closed it
	return conn
}

// request sends a small request and returns the status of the response, or 0 if there is none in time.
func request(t *testing.T, conn net.Conn, path string, within time.Duration) int {
	t.Helper()
	method := http.MethodPost
	if path == "/up" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://n"+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	if r.Write(conn) != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return 0
	}
	mustClose(t, response.Body)
	return response.StatusCode
}
