package coordination

// attemptCounterBits is the number of low bits of an attempt's number that count the attempts created under
// one fencing token; the bits above are the token. So numbers grow across partition leaders.
const attemptCounterBits = 20

// attemptNumber returns the number of the counter-th attempt under a fencing token.
func attemptNumber(token, counter uint64) uint64 { return token<<attemptCounterBits + counter }

// attemptToken returns the fencing token under which an attempt was created. It is too high if more attempts
// than the counter has room for were created under it.
func attemptToken(number uint64) uint64 { return number >> attemptCounterBits }
