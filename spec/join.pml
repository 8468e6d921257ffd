/*
 * Restarted agents and new boots.
 *
 * One VM with a worker, and two agent processes of it one after the other; the
 * first may be paused at any step and wake when the second is at work. The
 * second takes the worker, lists what runs, and joins under the next lease
 * with that list; the fold carries over what is listed and closes the rest,
 * which may then run elsewhere. Starts meant for the first lease may come late.
 *
 * Switches that take a rule out:
 *   NO_TAKE      the worker heeds an agent process after a later one took it
 *   NO_HELD      the join does not tell what runs
 *   NO_ENDED     the join does not tell what has ended and is not in the log yet
 *   OLD_STARTS   the second agent takes starts meant for the older lease
 *   NO_BOOT      a new boot is taken for a restarted agent that runs nothing
 *                new, and what the old boot held is carried over unasked
 *   NO_RESUME    the attempt after a close does not begin at the last checkpoint
 */
mtype = { none, runs, done, gone };

mtype attempt = none;      /* attempt 1 on the worker of this VM */
byte holder = 1;           /* the agent process that the worker heeds */
byte lease = 1;            /* the lease number that the log has given */
bool open = true;          /* attempt 1 is open in the log on this VM */
bool elsewhere = false;    /* attempt 2 runs on another VM */
bool lost = false;         /* attempt 1 is open here and can never run nor end */
bool closed = false;        /* the log has it that attempt 1 was done */
bool booted = false;       /* the VM has booted anew */
byte progress = 0;         /* work done by attempt 1 and saved */
byte resumed = 0;          /* work that attempt 2 began with */

/* Work that was done is not done again, nor in two places at once. */
#define CHECK assert(!(elsewhere && (attempt == runs || attempt == done)))

/* The first agent: gets the start, and may be paused before it acts on it. */
proctype First() {
	bool got = false;
	/* The start has arrived; acting on it comes later. */
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

/* The worker saves its progress as it goes. */
proctype Saver() {
	do
	:: atomic { attempt == runs && progress < 2 -> progress++ }
	:: attempt == gone || attempt == done || progress == 2 -> break
	od
}

/* The attempt may end; the word of it reaches the log later, by whichever
 * agent the worker heeds. */
proctype Finisher() {
	atomic { attempt == runs -> attempt = done };
	atomic { open && attempt == done -> open = false; closed = true }
}

/* The VM may boot anew: all that ran is gone, with its memory. */
proctype Boot() {
	atomic {
		if
		:: !booted -> booted = true; if :: attempt == runs || (attempt == done && !closed) -> attempt = gone :: else fi
		:: true -> skip
		fi
	}
}

/* The second agent: takes the worker, lists, joins. */
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
	/* The join record counts; everybody folds it. */
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
	/* A start meant for the first lease comes late. */
	atomic {
#ifdef OLD_STARTS
		if :: attempt == none -> attempt = runs :: else fi;
#endif
		CHECK
	};
	/* If the VM boots after the listing, the next join closes what it held. */
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
	/* When nothing can move, an attempt that is gone must be closed. */
	atomic { timeout -> assert(!(open && attempt == gone && holder == 2)) }
}
