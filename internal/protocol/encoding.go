package protocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// MaxBody bounds a request's body.
const MaxBody = 64 << 10

// MaxTasks is the most tasks a job may have.
const MaxTasks = 100_000

// maxMachineName bounds a machine's name, which is part of keys.
const maxMachineName = 150

// HTTPRequest is a request as a client sends it.
type HTTPRequest struct {
	Method string
	Path   string
	Body   []byte
}

// mustJSON writes one of this package's own plain structs, which can't fail but by a mistake here.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: a message cannot be written: %v", err))
	}
	return b
}

// taskID is the name of a task on the wire.
func taskID(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// parseTaskID splits a task's name into the id of its job and its number.
func parseTaskID(id string) (job string, task int, err error) {
	slash := strings.LastIndexByte(id, '/')
	if slash < 1 {
		return "", 0, fmt.Errorf("task id: %q", id)
	}
	task, err = strconv.Atoi(id[slash+1:])
	if err != nil || task < 0 || task >= MaxTasks {
		return "", 0, fmt.Errorf("task id: %q", id)
	}
	return id[:slash], task, nil
}
