/*
 * Leases of VMs, fences and lapses.
 *
 * One attempt runs on VM 0. Its agent probes an entry, whose view of the log
 * may be old; the lease runs from the sending of the probe, less the view's
 * age, for the hold time. Another entry may fence the VM and, one hold time
 * after it has read the fence back, lapse the attempt, which then starts
 * elsewhere. Agents and entries may be paused at any step. Time moves in
 * ticks; only the worker, which nothing pauses, acts on time by itself.
 *
 * Switches that take a rule out:
 *   NO_WAIT       the fencer lapses as soon as it has read its fence back
 *   NO_AGE        the lease counts from the answer's arrival
 *   FROM_ARRIVAL  the age is heeded, the sending time is not
 *   NO_WORKER     the worker leaves the deadline to the agent
 *   NO_FENCED     the view does not say that the VM is fenced
 */
#define HOLD 2
#define END 8

byte now = 0;

/* The log: whether the fence is in it, and what entry 0 has seen of it when. */
bool fence = false;
bool seenFence = false;
byte seenAt = 0;

/* The worker of VM 0. */
byte until = HOLD;
bool paused = false;

/* The attempt that took the place of the first. */
bool elsewhere = false;

#define RUNS (!paused && now < until)
#ifdef NO_WORKER
#undef RUNS
#define RUNS (!paused)
#endif

/* Time moves on; the worker pauses what has passed its deadline. */
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

/* The entry that answers probes reads the log now and then. */
proctype Viewer() {
	byte asked;
	do
	:: atomic { now < END -> asked = now };
		/* The read is on its way; what it shows is the log at some time since. */
		atomic { seenFence = fence; seenAt = asked }
	:: now == END -> break
	od
}

/* The agent of VM 0. Each arrow is a place where it may be paused. */
proctype Agent() {
	byte sent;
	byte age;
	byte lease;
	bool fenced;
	do
	:: atomic { now < END -> sent = now };
		/* The entry answers from its view. */
		atomic { fenced = seenFence; age = now - seenAt };
		/* The answer arrives, sooner or later. */
		atomic {
#ifdef NO_AGE
			lease = now + HOLD;
#else
#ifdef FROM_ARRIVAL
			lease = now + HOLD - age;
#else
			/* The age at the answer is at least that at the sending. */
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

/* The fencer: offers the fence, reads it back, waits, lapses, places anew. */
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
