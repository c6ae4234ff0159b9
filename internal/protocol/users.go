// Package protocol is the wire: JSON of users, workers, cloud and state service,
// and the FlatBuffers messages between controllers. The wire's words stay here.
package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"strconv"
	gostrings "strings"

	"pipitlatch/internal/coordination/messages"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

// MaxBody bounds a request's body.
const MaxBody = 64 << 10

// MaxTasks is the most tasks a job may have.
const MaxTasks = 100_000

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,20}$`)

// ValidJobID tells whether a job id has the one form that ids have.
func ValidJobID(ref string) bool { return jobIDPattern.MatchString(ref) }

type submission struct {
	Ref            *string  `json:"ref"`
	JobClass       *string  `json:"jobclass"`
	Owner          *string  `json:"owner"`
	Shape          *string  `json:"shape"`
	Rank           *string  `json:"rank"`
	Shards         *int     `json:"shards"`
	Cores          *float64 `json:"cores"`
	GPUs           *float64 `json:"gpus"`
	RAMGB          *float64 `json:"ram_gb"`
	Bundle         *string  `json:"bundle"`
	SizeGB         *float64 `json:"size_gb"`
	Hulls          []string `json:"hulls"`
	Berth          *string  `json:"berth"`
	OneZone        *bool    `json:"one_zone"`
	Apart          *bool    `json:"apart"`
	Loaners        *bool    `json:"loaners"`
	ExpectS        *float64 `json:"expect_s"`
	SnapshotEveryS *float64 `json:"snapshot_every_s"`
	SnapshotS      *float64 `json:"snapshot_s"`
	DueS           *float64 `json:"due_s"`
	WaitsOn        []string `json:"waits_on"`
}

var priorities = map[string]workload.Priority{
	"production": workload.Production, "urgent": workload.High, "standard": workload.Normal, "low": workload.Low,
}

// ParseSubmission reads a submission. The id is returned even with an error, if
// it could be read: a known job gets 200 whatever its repetition looks like.
func ParseSubmission(body []byte) (id string, job *workload.Job, err error) {
	var probe struct {
		Ref any `json:"ref"`
	}
	if trimmed := gostrings.TrimLeft(string(body[:min(len(body), 64)]), " \t\r\n"); !gostrings.HasPrefix(trimmed, "{") {
		return "", nil, errors.New("not a JSON object")
	}
	if err := json.Unmarshal(body, &probe); err != nil {
		return "", nil, fmt.Errorf("not JSON: %w", err)
	}
	if ref, ok := probe.Ref.(string); ok && ValidJobID(ref) {
		id = ref
	} else {
		return "", nil, errors.New("ref: missing or not of the form wk-000000")
	}
	var s submission
	if err := json.Unmarshal(body, &s); err != nil {
		return id, nil, fmt.Errorf("a field is invalid: %w", err)
	}
	j, err := s.job()
	return id, j, err
}

// amount checks a number's range.
func amount(errs *[]error, name string, v *float64, least, most float64) float64 {
	switch {
	case v == nil:
		*errs = append(*errs, fmt.Errorf("%s: missing", name))
		return 0
	case math.IsNaN(*v) || *v < least || *v > most:
		*errs = append(*errs, fmt.Errorf("%s: out of range: %v", name, *v))
		return 0
	}
	return *v
}

func text(errs *[]error, name string, v *string) string {
	if v == nil || *v == "" || len(*v) > 200 {
		*errs = append(*errs, fmt.Errorf("%s: missing, empty or too long", name))
		return ""
	}
	return *v
}

func flag(errs *[]error, name string, v *bool) bool {
	if v == nil {
		*errs = append(*errs, fmt.Errorf("%s: missing", name))
		return false
	}
	return *v
}

// limits on amounts: far above any machine, far below overflow.
const (
	maxAmount  = 1e6
	maxSeconds = 1e8
)

func (s *submission) job() (*workload.Job, error) {
	var errs []error
	e := &errs
	j := &workload.Job{ID: *s.Ref, Class: text(e, "jobclass", s.JobClass), Team: text(e, "owner", s.Owner),
		Image: text(e, "bundle", s.Bundle), ImageGB: amount(e, "size_gb", s.SizeGB, 0, maxAmount),
		Resources: workload.Resources{CPU: workload.Milli(amount(e, "cores", s.Cores, 0, maxAmount)),
			GPU: workload.Milli(amount(e, "gpus", s.GPUs, 0, maxAmount)), Mem: workload.Milli(amount(e, "ram_gb", s.RAMGB, 0, maxAmount))},
		InstanceTypes: s.Hulls, OneZone: flag(e, "one_zone", s.OneZone), Spread: flag(e, "apart", s.Apart), Spot: flag(e, "loaners", s.Loaners),
		Estimate:           micros.FromSeconds(amount(e, "expect_s", s.ExpectS, 0, maxSeconds)),
		CheckpointInterval: micros.FromSeconds(amount(e, "snapshot_every_s", s.SnapshotEveryS, 0, maxSeconds)),
		CheckpointDuration: micros.FromSeconds(amount(e, "snapshot_s", s.SnapshotS, 0, maxSeconds)),
	}
	switch shape := text(e, "shape", s.Shape); shape {
	case "array":
	case "service":
		j.Kind = workload.Service
	default:
		errs = append(errs, fmt.Errorf("shape: unknown: %q", shape))
	}
	rank := text(e, "rank", s.Rank)
	var ok bool
	if j.Priority, ok = priorities[rank]; !ok {
		errs = append(errs, fmt.Errorf("rank: unknown: %q", rank))
	}
	if s.Shards == nil || *s.Shards < 1 || *s.Shards > MaxTasks {
		errs = append(errs, errors.New("shards: missing or out of range"))
	} else {
		j.Tasks = *s.Shards
	}
	if s.Hulls != nil && (len(s.Hulls) == 0 || len(s.Hulls) > 64) {
		errs = append(errs, errors.New("hulls: must be null or name 1 to 64 types"))
	}
	for _, h := range s.Hulls {
		if h == "" || len(h) > 200 {
			errs = append(errs, errors.New("hulls: a name is empty or too long"))
			break
		}
	}
	if s.Berth != nil {
		j.Zone = text(e, "berth", s.Berth)
	}
	if s.DueS != nil {
		j.Deadline = micros.FromSeconds(amount(e, "due_s", s.DueS, 0, maxSeconds))
	}
	named := map[string]bool{}
	for _, ref := range s.WaitsOn {
		if !ValidJobID(ref) {
			errs = append(errs, errors.New("waits_on: an entry is not of the form wk-000000"))
			break
		}
		if !named[ref] { // twice the same counts once
			named[ref] = true
			j.DependsOn = append(j.DependsOn, ref)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return j, nil
}

// JobState is what users are told of a job.
type JobState struct {
	Ref     string `json:"ref"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// EncodeJobStatus writes a job's state.
func EncodeJobStatus(v messages.JobStatus) []byte {
	s := JobState{v.ID, "queued", v.Done, v.Running}
	switch {
	case v.Phase == workload.Done:
		s.Phase = "done"
	case v.Phase == workload.Cancelled:
		s.Phase = "cancelled"
	case v.Running > 0:
		s.Phase = "running"
	}
	return mustJSON(s)
}

// EncodeError writes why a request was refused.
func EncodeError(why string) []byte {
	return mustJSON(struct {
		Error string `json:"error"`
	}{why})
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: a message cannot be written: %v", err)) // our own plain structs
	}
	return b
}

func taskID(job string, task int) string { return job + "/" + strconv.Itoa(task) }

func parseTaskID(s string) (string, int, error) {
	i := gostrings.LastIndexByte(s, '/')
	if i < 1 {
		return "", 0, fmt.Errorf("task id: %q", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 || n >= MaxTasks {
		return "", 0, fmt.Errorf("task id: %q", s)
	}
	return s[:i], n, nil
}
