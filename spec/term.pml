/*
 * One leader at a time places tasks, and a start may be carried out late.
 *
 * Two entries may lead. A leader first writes a term with a higher epoch, then
 * places the one task on a worker: it writes the run, and sends the start only
 * after the log has confirmed the record. The log refuses records of a lower
 * epoch than the highest that it has. A start may get no answer and be carried
 * out at any later time; the agent then stops the run, and says that it never
 * began only after the worker has confirmed the stop. A worker starts no run
 * that is not higher than one stopped there.
 *
 * Switches that take a rule out:
 *   NO_EPOCH   the log takes records of any epoch
 *   EARLY      the start is sent before the log has confirmed the run
 *   NO_STOP    the agent takes a start without an answer for one that failed
 *   NO_FOLD    a new leader places without the records before its term
 */
#define WORKERS 2
#define RUNS 4

/* The log. */
byte epoch = 0;
byte lastRun = 0;       /* the highest run that is recorded */
byte open = 0;          /* the run that is recorded as placed, 0 for none */
byte place = 0;         /* the worker it is on */

/* The workers: the run at work, and the highest that was stopped. */
byte atWork[WORKERS];
byte stopped[WORKERS];

chan starts[WORKERS] = [2] of { byte };  /* starts on their way, in any order */
chan voids = [2] of { byte };            /* runs that never began, for the leader */

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

/* The agent gives up a start that got no answer. */
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
		/* Claims a term; what the log had is folded up to there. */
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
