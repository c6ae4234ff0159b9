package protocol

import (
	"net/http"
	"net/url"
	"strconv"

	"pipitlatch/internal/coordination/messages"
)

// EncodeCloudRequest encodes a request to the cloud.
func EncodeCloudRequest(call *messages.CloudCall) HTTPRequest {
	switch call.Operation {
	case messages.CloudRequestInstances:
		return encodeInstanceRequest(call)
	case messages.CloudTerminate:
		return HTTPRequest{http.MethodPost, "/machines/delete", mustJSON(struct {
			Hosts []string `json:"hosts"`
		}{call.Names})}
	case messages.CloudList:
		query := url.Values{"page": {strconv.Itoa(call.Limit)}}
		if call.After != "" {
			query.Set("after", call.After)
		}
		return HTTPRequest{http.MethodGet, "/machines?" + query.Encode(), nil}
	case messages.CloudCatalog:
	}
	return HTTPRequest{http.MethodGet, "/catalog", nil}
}

func encodeInstanceRequest(call *messages.CloudCall) HTTPRequest {
	request := call.InstanceRequest
	return HTTPRequest{http.MethodPost, "/machines", mustJSON(struct {
		Charter string `json:"charter"`
		Hull    string `json:"hull"`
		Berth   string `json:"berth"`
		Loaners bool   `json:"loaners"`
		Count   int    `json:"count"`
	}{call.InstanceRequestID, request.InstanceType, request.Zone, request.Spot, request.Count})}
}
