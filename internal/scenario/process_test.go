package scenario

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// process is a controller that runs.
type process struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer
	most map[string]int // the highest counts seen

	take func(line string) bool // lines that it takes are not kept
	part []byte                 // of a line
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.take == nil {
		return p.log.Write(b)
	}
	p.part = append(p.part, b...)
	for {
		line, rest, whole := bytes.Cut(p.part, []byte("\n"))
		if !whole {
			return len(b), nil
		}
		if !p.take(string(line)) {
			p.log.Write(append(line, '\n'))
		}
		p.part = append([]byte(nil), rest...)
	}
}

func (p *process) said(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.log.String(), text)
}

// sample counts the process's sockets, threads and megabytes.
func (p *process) sample() {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	now := map[string]int{}
	files, _ := os.ReadDir(dir + "fd") // the process may just have ended
	for _, f := range files {
		if to, err := os.Readlink(dir + "fd/" + f.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			now["sockets"]++
		}
	}
	status, _ := os.ReadFile(dir + "status")
	for _, line := range strings.Split(string(status), "\n") {
		if f := strings.Fields(line); len(f) > 1 && (f[0] == "Threads:" || f[0] == "VmHWM:") {
			n, _ := strconv.Atoi(f[1])
			now[strings.ToLower(strings.TrimSuffix(f[0], ":"))] = n
		}
	}
	for k, n := range now {
		p.most[k] = max(p.most[k], n)
	}
}

// startProcess runs a controller; what it logs at the level and above is kept, but for lines
// that take takes.
func startProcess(t *testing.T, level string, take func(string) bool, program string, arguments ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program, arguments...), most: map[string]int{}, take: take}
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return p
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it is ours, and may have ended
	_ = p.cmd.Wait()         // killed: no status is expected
}

// cpu is the processor time that the process has used.
func (p *process) cpu() time.Duration {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid)) // the process may just have ended
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])   // in hundredths of a second, as the next
	system, _ := strconv.Atoi(fields[12]) // see proc(5)
	return time.Duration(user+system) * 10 * time.Millisecond
}
