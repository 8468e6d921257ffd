/*
 * Leadership terms, and starts that are carried out late.
 *
 * Only one leader at a time may place tasks. Two entries may lead. A leader
 * first writes a term with a higher epoch, then places the one task on a
 * worker: it writes the run, and sends the start only after the log has
 * confirmed the record. The log refuses records whose epoch is lower than the
 * highest that it has. A start may get no response and be carried out at any
 * later time; the agent then stops the run, and reports that it never began
 * only after the worker has confirmed the stop. A worker starts a run only if
 * its number is higher than that of every run stopped there.
 *
 * Switches, each of which disables one rule:
 *   NO_EPOCH   the log accepts records of any epoch
 *   EARLY      the start is sent before the log has confirmed the run
 *   NO_STOP    the agent treats a start without a response as failed
 *   NO_FOLD    a new leader places tasks without folding the records before its term
 */
#define WORKERS 2
#define RUNS 4

/* The log. */
byte epoch = 0;
byte lastRun = 0;       /* the highest run that is recorded */
byte open = 0;          /* the run that is recorded as placed, 0 for none */
byte place = 0;         /* the worker that it is placed on */

/* The workers: the number of the active run, and the highest number stopped. */
byte atWork[WORKERS];
byte stopped[WORKERS];

chan starts[WORKERS] = [2] of { byte };  /* starts in flight, in any order */
chan voids = [2] of { byte };            /* runs reported to the leader as never begun */

inline begin(w, number) {
	if
	:: number > stopped[w] && atWork[w] == 0 -> atWork[w] = number;
		assert(!(atWork[0] > 0 && atWork[1] > 0))
	:: else
	fi
}

proctype Worker(byte w) {
	byte number;
	do
	:: atomic { starts[w]?number -> begin(w, number) }
	:: timeout -> break
	od
}

/* The agent gives up on a start that got no response. */
proctype Agent(byte w) {
	byte number;
	do
	:: atomic { open > 0 && place == w && atWork[w] != open && nfull(voids) ->
		number = open;
#ifndef NO_STOP
		stopped[w] = number;
#endif
		voids!number }
	:: timeout -> break
	od
}

proctype Entry(byte id) {
	byte mine, number, seenLast, seenOpen;
	byte tries = 0;
	do
	:: tries < 2 ->
		tries++;
		/* Claims a term, having folded the log up to there. */
		atomic { mine = epoch + 1; epoch = mine;
#ifdef NO_FOLD
			seenLast = 0; seenOpen = 0
#else
			seenLast = lastRun; seenOpen = open
#endif
		}
		do
		:: atomic { voids?number -> 
#ifndef NO_EPOCH
			if :: epoch == mine && open == number -> open = 0; seenOpen = 0 :: else -> skip fi
#else
			if :: open == number -> open = 0; seenOpen = 0 :: else -> seenOpen = 0 fi
#endif
		}
		:: seenOpen == 0 && seenLast < RUNS - 1 ->
			number = seenLast + 1;
#ifdef EARLY
			if :: starts[id]!number :: full(starts[id]) fi;
#endif
			atomic {
#ifndef NO_EPOCH
				if
				:: epoch == mine -> lastRun = number; open = number; place = id
				:: else -> break
				fi
#else
				lastRun = number; open = number; place = id
#endif
			}
			seenLast = number; seenOpen = number;
#ifndef EARLY
			if :: starts[id]!number :: full(starts[id]) fi
#endif
		:: break
		od
	:: break
	od
}

init {
	atomic { run Worker(0); run Worker(1); run Agent(0); run Agent(1); run Entry(0); run Entry(1) }
}
