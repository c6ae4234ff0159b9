// Package reachability finds out which machines a controller reaches whose partition leader does not
// hear them, and judges from what controllers tell each other which of them reaches which machines.
// Nobody else can tell whether such machines have failed or are only out of that leader's reach.
package reachability
