package agentacceptor

import "errors"

var (
	errNoHello        = errors.New("the first frame is not a hello with the name of a VM")
	errCreditExceeded = errors.New("the agent sent more parts of an answer than it had credit for")
)
