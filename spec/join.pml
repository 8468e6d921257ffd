/*
 * Agent restarts and VM reboots.
 *
 * One VM has a worker and two successive agent processes; the first may be
 * paused at any step and resume when the second is active. The second takes
 * over the worker, lists its attempts, and joins under the next lease with that
 * list. The fold keeps the listed attempts open and closes the others, which
 * may then run elsewhere. Starts sent under the first lease may arrive late.
 *
 * Switches, each of which disables one rule:
 *   NO_TAKE      the worker accepts calls of an agent after a later one took over
 *   NO_HELD      the join does not list the running attempts
 *   NO_ENDED     the join does not list attempts whose end is not yet in the log
 *   OLD_STARTS   the second agent accepts starts sent under the older lease
 *   NO_BOOT      a reboot is mistaken for the restart of an agent, and the
 *                attempts of the previous boot are kept open without a check
 *   NO_RESUME    the attempt after a close does not start from the last checkpoint
 */
mtype = { none, runs, done, gone };

mtype attempt = none;      /* attempt 1 on the worker of this VM */
byte holder = 1;           /* the agent process whose calls the worker accepts */
byte lease = 1;            /* the lease number that the log has assigned */
bool open = true;          /* attempt 1 is open in the log on this VM */
bool elsewhere = false;    /* attempt 2 runs on another VM */
bool lost = false;         /* attempt 1 is open here but can neither run nor end */
bool closed = false;        /* the log records attempt 1 as done */
bool booted = false;       /* the VM has rebooted */
byte progress = 0;         /* work of attempt 1 that is checkpointed */
byte resumed = 0;          /* checkpointed work that attempt 2 started from */

/* Finished work is not repeated, and no task runs in two places at once. */
#define CHECK assert(!(elsewhere && (attempt == runs || attempt == done)))

/* The first agent: receives the start, and may be paused before it handles it. */
proctype First() {
	bool got = false;
	/* The start has arrived and is handled in a later step. */
	got = true;
	atomic {
		if
#ifndef NO_TAKE
		:: holder != 1 -> skip
#endif
		:: else ->
			if :: attempt == none && !booted -> attempt = runs :: else fi
		fi;
		CHECK
	}
}

/* The worker checkpoints the progress of the attempt. */
proctype Saver() {
	do
	:: atomic { attempt == runs && progress < 2 -> progress++ }
	:: attempt == gone || attempt == done || progress == 2 -> break
	od
}

/* The attempt may end; whichever agent the worker accepts reports the end to the
 * log later. */
proctype Finisher() {
	atomic { attempt == runs -> attempt = done };
	atomic { open && attempt == done -> open = false; closed = true }
}

/* The VM may reboot: what ran, and the worker's memory of it, is lost. */
proctype Boot() {
	atomic {
		if
		:: !booted -> booted = true; if :: attempt == runs || (attempt == done && !closed) -> attempt = gone :: else fi
		:: true -> skip
		fi
	}
}

/* The second agent: takes over the worker, lists its attempts, joins. */
proctype Second() {
	bool held;
	bool boot;
	atomic {
		holder = 2;
#ifndef NO_ENDED
		held = (attempt == runs || attempt == done);
#else
		held = (attempt == runs);
#endif
		boot = booted
	};
	/* The join record is in the log and folded. */
	atomic {
		lease = 2;
		if
#ifdef NO_HELD
		:: open -> open = false
#else
#ifdef NO_BOOT
		:: open && (held || booted) -> skip
#else
		:: open && held && !boot -> skip
#endif
		:: else -> open = false
#endif
		fi
	};
	/* A start sent under the first lease arrives late. */
	atomic {
#ifdef OLD_STARTS
		if :: attempt == none -> attempt = runs :: else fi;
#endif
		CHECK
	};
	/* If the VM reboots after the listing, the next join closes its attempt. */
	atomic { booted && !boot && open ->
#ifndef NO_BOOT
		open = false;
#endif
		skip
	}
}

/* An owner places the task elsewhere once the attempt is closed. */
proctype Owner() {
	atomic { !open && !closed ->
		elsewhere = true;
#ifndef NO_RESUME
		resumed = progress;
#endif
		CHECK;
		assert(resumed == progress)
	}
}

init {
	atomic { run First(); run Saver(); run Finisher(); run Boot(); run Second(); run Owner() };
	/* When no process can take a step, a lost attempt must be closed. */
	atomic { timeout -> assert(!(open && attempt == gone && holder == 2)) }
}
