package protocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// MaxBodyBytes is the maximum size of a request body in bytes.
const MaxBodyBytes = 64 << 10

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 100_000

// maxMachineName is the maximum length of a machine's name in bytes. Names are part of storage keys.
const maxMachineName = 150

// HTTPRequest is a request to be sent by an HTTP client.
type HTTPRequest struct {
	Method string
	Path   string
	Body   []byte
}

// mustJSON encodes one of this package's own structs. It panics on an error, because encoding them can
// fail only through a bug in this package.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: cannot encode message: %v", err))
	}
	return b
}

// taskID returns the id of a task on the wire, such as wk-1/0.
func taskID(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// parseTaskID splits a task's id into the id of its job and the number of the task.
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
