package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"regexp"

	"pipitlatch/internal/micros"
	"pipitlatch/internal/workload"
)

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,20}$`)

// ValidJobID reports whether a job id has the required form.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// submission is the body of a submission. Errors of encoding/json that are returned to users contain the
// name of this type, so the name is part of the wire format.
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

// submissionFieldNames are the names of a submission's fields. All others are ignored.
var submissionFieldNames = []string{
	"ref", "jobclass", "owner", "shape", "rank", "shards", "cores", "gpus", "ram_gb", "bundle", "size_gb", "hulls",
	"berth", "one_zone", "apart", "loaners", "expect_s", "snapshot_every_s", "snapshot_s", "due_s", "waits_on",
}

// ParseSubmission decodes and validates a submission. If the id could be decoded, it is returned even
// with an error, because a resubmission of a known job gets status 200 whatever its other fields are.
// The error joins one MalformedError for each invalid field.
func ParseSubmission(body []byte) (id string, job *workload.Job, err error) {
	fields, err := submissionFields(body)
	if err != nil {
		return "", nil, err
	}
	id, err = parseJobID(fields["ref"])
	if err != nil {
		return "", nil, err
	}
	if shards, ok := fields["shards"]; ok {
		fields["shards"] = wholeNumber(shards)
	}
	var s submission
	if err := unmarshalFields(fields, submissionFieldNames, &s); err != nil {
		return id, nil, malformedJSON("a field is invalid", err)
	}
	job, err = s.job()
	return id, job, err
}

// submissionFields decodes a submission without its fields' values.
func submissionFields(body []byte) (map[string]json.RawMessage, error) {
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{")) {
		return nil, malformed("", "not a JSON object")
	}
	fields, err := objectFields(body)
	if err != nil {
		return nil, malformedJSON("not JSON", err)
	}
	return fields, nil
}

// parseJobID decodes the id of a submission.
func parseJobID(value json.RawMessage) (string, error) {
	var id *string
	if value == nil || json.Unmarshal(value, &id) != nil || id == nil || !ValidJobID(*id) {
		return "", malformedField("ref", "missing or not of the form wk-000000")
	}
	return *id, nil
}

// job checks the fields in the order in which their errors are listed.
func (s *submission) job() (*workload.Job, error) {
	c := &fieldChecker{}
	job := &workload.Job{
		ID:      *s.Ref,
		Class:   c.text("jobclass", s.JobClass),
		Team:    c.text("owner", s.Owner),
		Image:   c.text("bundle", s.Bundle),
		ImageGB: c.amount("size_gb", s.SizeGB, maxAmount),
		Resources: workload.Resources{
			CPU: workload.Milli(c.amount("cores", s.Cores, maxAmount)),
			GPU: workload.Milli(c.amount("gpus", s.GPUs, maxAmount)),
			Mem: workload.Milli(c.amount("ram_gb", s.RAMGB, maxAmount)),
		},
		OneZone:            c.flag("one_zone", s.OneZone),
		Spread:             c.flag("apart", s.Apart),
		Spot:               c.flag("loaners", s.Loaners),
		Estimate:           micros.FromSeconds(c.amount("expect_s", s.ExpectS, maxSeconds)),
		CheckpointInterval: micros.FromSeconds(c.amount("snapshot_every_s", s.SnapshotEveryS, maxSeconds)),
		CheckpointDuration: micros.FromSeconds(c.amount("snapshot_s", s.SnapshotS, maxSeconds)),
	}
	job.Kind = enumValue(c, "shape", s.Shape, jobKinds)
	job.Priority = enumValue(c, "rank", s.Rank, priorities)
	job.Tasks = c.tasks("shards", s.Shards)
	job.InstanceTypes = c.instanceTypes("hulls", s.Hulls)
	if s.Berth != nil {
		job.Zone = c.text("berth", s.Berth)
	}
	if s.DueS != nil {
		job.Deadline = micros.FromSeconds(c.amount("due_s", s.DueS, maxSeconds))
	}
	job.DependsOn = c.dependencies("waits_on", s.WaitsOn)
	if len(c.errs) > 0 {
		return nil, errors.Join(c.errs...)
	}
	return job, nil
}
