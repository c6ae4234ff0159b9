package protocol

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"pipitlatch/internal/coordination/messages"

	"pgregory.net/rapid"

	"pipitlatch/internal/storage"
	"pipitlatch/internal/workload"
)

const validSubmission = `{"ref":"wk-000412","jobclass":"train","owner":"vision","shape":"array","rank":"urgent",
"shards":16,
 "cores":8.0,"gpus":1.0,"ram_gb":64.0,"bundle":"img-07","size_gb":6.2,"hulls":["g8"],"berth":null,"one_zone":true,
 "apart":false,"loaners":true,"expect_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0,"later":[1]}`

func TestParseSubmission(t *testing.T) {
	id, j, err := ParseSubmission([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	want := &workload.Job{ID: "wk-000412", Class: "train", Team: "vision", Priority: workload.High, Tasks: 16,
		Resources: workload.Resources{CPU: 8000, GPU: 1000, Mem: 64000}, InstanceTypes: []string{"g8"},
		OneZone: true, Spot: true,
		Image: "img-07", ImageGB: 6.2, Estimate: 240e6, CheckpointInterval: 30e6, CheckpointDuration: 4e6, Deadline: 900e6}
	if id != "wk-000412" || !reflect.DeepEqual(j, want) {
		t.Errorf("got %+v", j)
	}
}

// TestSubmissionInAnotherForm guards against sound submissions that are refused, or become another job.
func TestSubmissionInAnotherForm(t *testing.T) {
	_, want, err := ParseSubmission([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, from, to string }{
		{"unknown field in another case", `"later":[1]`, `"REF":"wk-000999","Shards":"x","OWNER":null`},
		{"whole number as a fraction", `"shards":16`, `"shards":16.0`},
		{"whole number with an exponent", `"shards":16`, `"shards":1.6e1`},
		{"amount with an exponent", `"cores":8.0`, `"cores":80e-1`},
		{"name repeated", `"later":[1]`, `"shards":16`},
		{"escaped name and value", `"ref":"wk-000412"`, `"\u0072ef":"wk-\u003000412"`},
		{"white space first", `{"ref"`, strings.Repeat(" \n", 100) + `{"ref"`},
		{"deep nesting", `"later":[1]`, `"later":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000)},
	} {
		body := strings.Replace(validSubmission, c.from, c.to, 1)
		if body == validSubmission {
			t.Errorf("%s: %s isn't in the submission", c.name, c.from)
		}
		id, job, err := ParseSubmission([]byte(body))
		if id != "wk-000412" || err != nil || !reflect.DeepEqual(job, want) {
			t.Errorf("%s: id %q, job %+v, err %v", c.name, id, job, err)
		}
	}
	names := reflect.TypeFor[submission]()
	for i := range names.NumField() {
		if name := names.Field(i).Tag.Get("json"); !slices.Contains(submissionFieldNames, name) {
			t.Errorf("field %s would be ignored", name)
		}
	}
}

// FuzzParseSubmission checks that no body ends the parser, and that an accepted job has a valid id.
func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Add([]byte(`{"Ref":"wk-1","ref":"wk-2","shards":1e0}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		id, job, err := ParseSubmission(body)
		if (job == nil) != (err != nil) || (job != nil && (job.ID != id || !ValidJobID(id) || job.Tasks < 1)) {
			t.Errorf("id %q, job %+v, err %v", id, job, err)
		}
	})
}

// FuzzParseHeartbeat checks that no body ends the parser, and that an accepted heartbeat has a machine and an epoch.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"host":"vm-1","tenure":1,"tick":2,"warrant":3,"shards":[{"shard":"wk-1/0","try":1,"phase":"saving"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := ParseHeartbeat(body)
		valid := heartbeat != nil && heartbeat.Machine != "" && heartbeat.AgentEpoch != 0
		if valid != (err == nil) {
			t.Errorf("heartbeat %+v, err %v", heartbeat, err)
		}
	})
}

func TestMalformedSubmissions(t *testing.T) {
	for _, c := range []struct{ from, to, id string }{
		{validSubmission, "", ""}, {validSubmission, "null", ""}, {validSubmission, "[1]", ""},
		{validSubmission, `"x"`, ""}, {validSubmission, "{", ""}, {validSubmission, validSubmission + "x", ""},
		{`"wk-000412"`, `"job-1"`, ""}, {`"wk-000412"`, `12`, ""}, {`"ref":"wk-000412",`, ``, ""},
		{`"shards":16`, `"shards":0`, "wk-000412"}, {`"shards":16`, `"shards":100001`, "wk-000412"},
		{`"shards":16`, `"shards":1.5`, "wk-000412"}, {`"shards":16`, `"shards":"16"`, "wk-000412"},
		{`"shards":16,`, ``, "wk-000412"},
		{`"cores":8.0`, `"cores":-1`, "wk-000412"}, {`"cores":8.0`, `"cores":null`, "wk-000412"},
		{`"cores":8.0`, `"cores":1e300`, "wk-000412"},
		{`"shape":"array"`, `"shape":"heap"`, "wk-000412"}, {`"rank":"urgent"`, `"rank":"vip"`, "wk-000412"},
		{`"hulls":["g8"]`, `"hulls":"g8"`, "wk-000412"}, {`"hulls":["g8"]`, `"hulls":[]`, "wk-000412"},
		{`"hulls":["g8"]`, `"hulls":[7]`, "wk-000412"},
		{`"one_zone":true`, `"one_zone":"yes"`, "wk-000412"}, {`"due_s":900.0`, `"due_s":-3`, "wk-000412"},
		{`"owner":"vision"`, `"owner":""`, "wk-000412"},
		{`"later":[1]`, `"waits_on":"wk-000001"`, "wk-000412"}, {`"later":[1]`, `"waits_on":["job-1"]`, "wk-000412"},
		{`"later":[1]`, `"waits_on":["wk-000001",7]`, "wk-000412"}, {`"later":[1]`, `"waits_on":[null]`, "wk-000412"},
		{`"later":[1]`, `"waits_on":{}`, "wk-000412"},
	} {
		body := strings.Replace(validSubmission, c.from, c.to, 1)
		id, j, err := ParseSubmission([]byte(body))
		if err == nil || j != nil || id != c.id {
			t.Errorf("%s -> %s: id %q, job %v, err %v", c.from[:min(30, len(c.from))], c.to[:min(30, len(c.to))], id, j, err)
		}
	}
}

// TestCorruptInput checks that no decoder panics on corrupt or random input.
func TestCorruptInput(t *testing.T) {
	raw := EncodePeerStatus(&messages.PeerStatus{From: storage.Process{Member: "a"},
		TerminatedMachines: []string{"vm-1", "vm-2"}})
	rapid.Check(t, func(t *rapid.T) {
		b := append([]byte(nil), raw...)
		for range rapid.IntRange(1, 8).Draw(t, "damage") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		_, _ = DecodePeerStatus(b)
		noise := []byte(rapid.String().Draw(t, "noise"))
		for _, body := range [][]byte{noise, b} {
			_, _, _ = ParseSubmission(body)
			_, _ = ParseHeartbeat(body)
			for _, status := range []int{200, 404, 409, 410, 503, 400, 302} {
				if r, _ := DecodeStoreReply(storage.Watch, status, body); r == nil {
					t.Fatal("no reply")
				}
				if r, _ := DecodeCloudReply(messages.CloudList, status, body); r == nil {
					t.Fatal("no reply")
				}
				if DecodeAgentReply(status, body) == nil {
					t.Fatal("no reply")
				}
			}
		}
	})
}

func TestMalformedRepliesHaveUnknownOutcome(t *testing.T) {
	txn, err := DecodeStoreReply(storage.Txn, 200, []byte("<html>"))
	if txn.Outcome != storage.OutcomeUnknown || err == nil {
		t.Errorf("store: %v %v", txn.Outcome, err)
	}
	requested, err := DecodeCloudReply(messages.CloudRequestInstances, 200, []byte(`{"hosts":[""]}`))
	if requested.Outcome != messages.CloudOutcomeUnknown || err == nil {
		t.Errorf("cloud: %v %v", requested.Outcome, err)
	}
	heartbeat := `{"host":"vm-1","tenure":1,"shards":[{"shard":"wk-1/0","try":1,"phase":"suspended"}]}`
	if r := DecodeAgentReply(200, []byte(heartbeat)); r.Heartbeat != nil {
		t.Error("agent: a heartbeat with an unknown task state was accepted")
	}
}

// TestDependencies checks that an absent, null or empty list means no dependencies, and that duplicates are
// removed.
func TestDependencies(t *testing.T) {
	for from, want := range map[string][]string{`"later":[1]`: nil, `"waits_on":null`: nil, `"waits_on":[]`: nil,
		`"waits_on":["wk-000398","wk-000405","wk-000398"]`: {"wk-000398", "wk-000405"}} {
		_, j, err := ParseSubmission([]byte(strings.Replace(validSubmission, `"later":[1]`, from, 1)))
		if err != nil || !reflect.DeepEqual(j.DependsOn, want) {
			t.Errorf("%s: %v, %v", from, j, err)
		}
	}
}
