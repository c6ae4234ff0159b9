package protocol

// EncodeRedirect encodes the reply that redirects an agent to another controller. If the address is
// empty, the agent has to find a controller itself.
func EncodeRedirect(address string) []byte {
	return mustJSON(struct {
		Steward string `json:"steward,omitempty"`
	}{address})
}
