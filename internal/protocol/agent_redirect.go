package protocol

// EncodeRedirect writes the answer that sends an agent to another controller; an empty address leaves
// it to the agent to find one.
func EncodeRedirect(address string) []byte {
	return mustJSON(struct {
		Steward string `json:"steward,omitempty"`
	}{address})
}
