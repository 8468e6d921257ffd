package soaktester

import (
	"fmt"
	"math/rand/v2"
	"time"

	"knapweedspur/platform/platformemulator"
)

const (
	// policyStream is the random stream of the faults of the policy service.
	policyStream = 50
	// meanPolicyFaultTime is the mean time of such a fault, and between two of them.
	meanPolicyFaultTime = 1500 * time.Millisecond
)

// policyAddress is the address of the policy service, empty for none.
func (s *soak) policyAddress() string {
	if !s.config.Policy {
		return ""
	}
	return fmt.Sprintf("%s:%d", s.address(0, 1), basePort)
}

// acceptsTicket returns the check of the workers for tickets, nil for none.
func (s *soak) acceptsTicket() func(task, instance, ticket string, now time.Time) bool {
	if !s.config.Policy {
		return nil
	}
	return s.policy.Accepts
}

// injectPolicyFaults lets the policy service fail in one way after the other while faults are injected, and closes
// done.
func (s *soak) injectPolicyFaults(done chan<- struct{}) {
	defer close(done)
	if !s.config.Policy {
		return
	}
	random := rand.New(rand.NewPCG(s.config.Seed, policyStream))
	pause := func() { time.Sleep(time.Duration(random.Int64N(int64(2 * meanPolicyFaultTime)))) }
	for start := time.Now(); time.Since(start) < s.config.FaultDuration; {
		pause()
		fault := platformemulator.PolicyFault(random.IntN(int(platformemulator.PolicyFaultCount)))
		s.faultCount.Add(1)
		s.logFault("policy fault %d", fault)
		s.policy.SetFault(fault)
		pause()
		s.policy.SetFault(platformemulator.NoPolicyFault)
	}
}
