package protocol

import (
	"encoding/json"
	"fmt"
	"net/http"

	"pipitlatch/internal/coordination/messages"
)

// DecodeCloudReply decodes the cloud's reply. A reply that can't be decoded has an unknown outcome: the
// operation may have been carried out.
func DecodeCloudReply(operation messages.CloudOperation, status int, body []byte) (*messages.CloudReply, error) {
	unknown := &messages.CloudReply{Outcome: messages.CloudOutcomeUnknown}
	switch status {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return &messages.CloudReply{Outcome: messages.CloudRejected}, nil
	case http.StatusServiceUnavailable:
		if operation == messages.CloudRequestInstances && bodyHasError(body, errorNoCapacity) {
			return &messages.CloudReply{Outcome: messages.CloudInsufficientCapacity}, nil
		}
		return &messages.CloudReply{Outcome: messages.CloudRejected}, nil
	default:
		return unknown, fmt.Errorf("cloud: status %d", status)
	}
	reply := &messages.CloudReply{Outcome: messages.CloudOK}
	var err error
	switch operation {
	case messages.CloudCatalog:
		reply.Catalog, err = decodeCatalog(body)
	case messages.CloudRequestInstances:
		reply.Names, err = decodeInstanceNames(body)
	case messages.CloudList:
		reply.Instances, reply.More, err = decodeInstances(body)
	case messages.CloudTerminate: // the reply contains nothing else of use
	}
	if err != nil {
		return unknown, fmt.Errorf("cloud: %w", err)
	}
	return reply, nil
}

// bodyHasError reports whether the body of an error reply contains the error with this name.
func bodyHasError(body []byte, name string) bool {
	var refusal struct {
		Error string `json:"error"`
	}
	return json.Unmarshal(body, &refusal) == nil && refusal.Error == name
}
