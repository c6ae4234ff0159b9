// Package reachability probes machines that their partition leader cannot reach, and evaluates the
// status messages of controllers to determine which controller reaches which machines. Only the other
// controllers can distinguish whether such machines have failed or are merely cut off from their leader.
package reachability
