package agentacceptor

import "errors"

var (
	errNoHello = errors.New("the first frame does not say who the agent is")
	errCredit  = errors.New("the agent sent more than it had credit for")
)
