/*
 * VM leases, fencing and lapsed attempts.
 *
 * One attempt runs on VM 0. Its agent probes an entry, whose view of the log
 * may be stale; the lease lasts for the hold time from when the probe was sent,
 * less the age of the view. Another entry may fence the VM and, one hold time
 * after it has read the fence back, lapse the attempt, which then starts
 * elsewhere. Agents and entries may be paused at any step. Time advances in
 * ticks; only the worker, which is never paused, enforces deadlines by itself.
 *
 * Switches, each of which disables one rule:
 *   NO_WAIT       the fencer lapses as soon as it has read its fence back
 *   NO_AGE        the lease counts from the arrival of the response
 *   FROM_ARRIVAL  the lease counts from the arrival, less the age of the view
 *   NO_WORKER     the worker leaves the deadline to the agent
 *   NO_FENCED     the view does not tell that the VM is fenced
 */
#define HOLD 2
#define END 8

byte now = 0;

/* The log: whether it has the fence, whether the view of entry 0 has it, and when
 * that view was read. */
bool fence = false;
bool seenFence = false;
byte seenAt = 0;

/* The worker of VM 0. */
byte until = HOLD;
bool paused = false;

/* The attempt that replaced the first. */
bool elsewhere = false;

#define RUNS (!paused && now < until)
#ifdef NO_WORKER
#undef RUNS
#define RUNS (!paused)
#endif

/* Time advances; the worker pauses the attempt when its deadline has passed. */
proctype Clock() {
	do
	:: atomic { now < END -> now++;
#ifndef NO_WORKER
		if :: now >= until -> paused = true :: else fi;
#endif
		assert(!(elsewhere && RUNS)) }
	:: now == END -> break
	od
}

/* The entry that answers probes reads the log from time to time. */
proctype Viewer() {
	byte asked;
	do
	:: atomic { now < END -> asked = now };
		/* The read returns the log as it was at some time since the request. */
		atomic { seenFence = fence; seenAt = asked }
	:: now == END -> break
	od
}

/* The agent of VM 0. It may be paused between any two atomic steps. */
proctype Agent() {
	byte sent;
	byte age;
	byte lease;
	bool fenced;
	do
	:: atomic { now < END -> sent = now };
		/* The entry answers from its view. */
		atomic { fenced = seenFence; age = now - seenAt };
		/* The response arrives after any delay. */
		atomic {
#ifdef NO_AGE
			lease = now + HOLD;
#else
#ifdef FROM_ARRIVAL
			lease = now + HOLD - age;
#else
			/* The age when the entry answers is at least the age when the probe
			 * was sent. */
			lease = (sent + HOLD > age -> sent + HOLD - age : 0);
#endif
#endif
			if
#ifndef NO_FENCED
			:: fenced -> paused = true; until = 0; break
#endif
			:: else ->
				if :: lease > until -> until = lease :: else fi;
				if :: now < until -> paused = false :: else fi
			fi;
			fenced = false; age = 0; lease = 0; sent = 0 };
		assert(!(elsewhere && RUNS))
#ifdef NO_WORKER
	:: atomic { now >= until -> paused = true }
#endif
	:: now == END -> break
	od
}

/* The fencer: appends the fence, reads it back, waits, lapses the attempt and
 * places the task elsewhere. */
proctype Fencer() {
	byte readBack;
	atomic { fence = true };
	atomic { readBack = now };
#ifndef NO_WAIT
	atomic { now >= readBack + HOLD };
#endif
	atomic { elsewhere = true; assert(!(elsewhere && RUNS)) }
}

init {
	atomic {
		run Clock();
		run Viewer();
		run Agent();
		run Fencer()
	}
}
