package protocol

import (
	"errors"
	"testing"

	"pipitlatch/internal/coordination/messages"
)

// malformedBody is a body that can't be decoded, the field that its error names (the first, if there are
// several) and the text that is returned to its sender.
type malformedBody struct {
	name, body, field, text string
}

// run compares the texts exactly, because users and agents receive them. Texts of encoding/json contain
// the name of the Go type that is decoded into, so submission and report must keep their names.
func (m malformedBody) run(t *testing.T, parse func([]byte) error) {
	t.Helper()
	t.Run(m.name, func(t *testing.T) {
		err := parse([]byte(m.body))
		if err == nil || err.Error() != m.text {
			t.Errorf("got %q, want %q", err, m.text)
		}
		malformed, ok := errors.AsType[*MalformedError](err)
		if !ok || malformed.Field != m.field {
			t.Errorf("got %#v, want an error of field %q", err, m.field)
		}
	})
}

func TestMalformedSubmissionTexts(t *testing.T) {
	for _, test := range []malformedBody{
		{"submission not an object", `[1]`, "",
			"not a JSON object"},
		{"submission cut off", `{`, "",
			"not JSON: unexpected end of JSON input"},
		{"submission without id", `{}`, "ref",
			"ref: missing or not of the form wk-000000"},
		{"submission with a field of the wrong type", `{"ref":"wk-1","shards":"x"}`, "shards",
			"a field is invalid: json: cannot unmarshal string into Go struct field submission.shards of type int"},
		{"submission with nothing but its id", `{"ref":"wk-1"}`, "jobclass",
			"jobclass: missing, empty or too long\nowner: missing, empty or too long\n" +
				"bundle: missing, empty or too long\nsize_gb: missing\ncores: missing\ngpus: missing\n" +
				"ram_gb: missing\none_zone: missing\napart: missing\nloaners: missing\nexpect_s: missing\n" +
				"snapshot_every_s: missing\nsnapshot_s: missing\nshape: missing, empty or too long\n" +
				"shape: unknown: \"\"\nrank: missing, empty or too long\nrank: unknown: \"\"\n" +
				"shards: missing or out of range"},
		{"submission with bad values", `{"ref":"wk-1","jobclass":"c","owner":"o","shape":"heap","rank":"vip","shards":0,` +
			`"cores":-1,"gpus":0,"ram_gb":1,"bundle":"i","size_gb":1,"hulls":[],"berth":"","one_zone":false,"apart":false,` +
			`"loaners":false,"expect_s":1,"snapshot_every_s":0,"snapshot_s":0,"due_s":1e9,"waits_on":["x"]}`, "cores",
			"cores: out of range: -1\nshape: unknown: \"heap\"\nrank: unknown: \"vip\"\n" +
				"shards: missing or out of range\nhulls: must be null or name 1 to 64 types\n" +
				"berth: missing, empty or too long\ndue_s: out of range: 1e+09\n" +
				"waits_on: an entry is not of the form wk-000000"},
		{"submission with an empty instance type", `{"ref":"wk-1","jobclass":"c","owner":"o","shape":"array","rank":"low",` +
			`"shards":1,"cores":1,"gpus":0,"ram_gb":1,"bundle":"i","size_gb":1,"hulls":["a",""],"one_zone":false,` +
			`"apart":false,"loaners":false,"expect_s":1,"snapshot_every_s":0,"snapshot_s":0}`, "hulls",
			"hulls: a name is empty or too long"},
	} {
		test.run(t, func(body []byte) error { _, _, err := ParseSubmission(body); return err })
	}
}

func TestMalformedHeartbeatTexts(t *testing.T) {
	for _, test := range []malformedBody{
		{"heartbeat cut off", `{`, "",
			"report: unexpected end of JSON input"},
		{"heartbeat with a field of the wrong type", `{"host":"h","tenure":"x"}`, "tenure",
			"report: json: cannot unmarshal string into Go struct field report.tenure of type uint64"},
		{"heartbeat without machine", `{"tenure":1}`, "host",
			"report: host or tenure is missing"},
		{"heartbeat without agent epoch", `{"host":"h"}`, "tenure",
			"report: host or tenure is missing"},
		{"heartbeat with a bad task id", `{"host":"h","tenure":1,"shards":[{"shard":"x"}]}`, "shards.shard",
			"report: task id: \"x\""},
		{"heartbeat with a task number out of range", `{"host":"h","tenure":1,"shards":[{"shard":"x/-1"}]}`, "shards.shard",
			"report: task id: \"x/-1\""},
		{"heartbeat with an unknown task state", `{"host":"h","tenure":1,"shards":[{"shard":"x/1","phase":"suspended"}]}`,
			"shards.phase",
			"report: task x/1 in an unknown state \"suspended\""},
		{"heartbeat with a task's field of the wrong type", `{"host":"h","tenure":1,"shards":[{"try":"x"}]}`, "shards.try",
			"report: json: cannot unmarshal string into Go struct field .shards.try of type uint64"},
	} {
		test.run(t, func(body []byte) error { _, err := ParseHeartbeat(body); return err })
	}
}

func TestMalformedCloudReplyTexts(t *testing.T) {
	for _, test := range []struct {
		malformedBody
		operation messages.CloudOperation
	}{
		{malformedBody{"catalog cut off", `{`, "",
			"cloud: catalog: unexpected end of JSON input"}, messages.CloudCatalog},
		{malformedBody{"catalog with a bad type", `{"hulls":[{"sku":"s"}]}`, "hulls",
			"cloud: catalog: bad type \"s\""}, messages.CloudCatalog},
		{malformedBody{"instance request cut off", `{`, "",
			"cloud: rental: unexpected end of JSON input"}, messages.CloudRequestInstances},
		{malformedBody{"instance request with a bad name", `{"hosts":[""]}`, "hosts",
			"cloud: rental: bad machine name \"\""}, messages.CloudRequestInstances},
		{malformedBody{"instance list cut off", `{`, "",
			"cloud: list: unexpected end of JSON input"}, messages.CloudList},
	} {
		test.run(t, func(body []byte) error { _, err := DecodeCloudReply(test.operation, 200, body); return err })
	}
}
