/*
 * Copies of a task: two runs at a time, ordered by the log.
 *
 * One task of a step that allows copies, four runs, leaders that follow each other.
 * A leader keeps a state that it writes to the log before it sends a start or
 * acknowledges an end; the next one begins with what the log has. A start may arrive
 * late. An end that is done stays listed until it is acknowledged. A run is given up
 * once it surely does not run; its end may be seen all the same.
 *
 * Switches, each of which disables one rule:
 *   NO_RECORD  an end is acknowledged before the record of it is in the log
 *   NO_LIMIT   a task gets a copy although it has two runs
 *   NO_PROOF   a run is given up while it may still run
 *   NO_DONE    the start of a run is sent although its task is done
 */
#define RUNS 4

#define IDLE 0
#define RUNNING 1
#define DONE 2
#define OVER 3

typedef Book { byte last; bool done; bool live[RUNS + 1] };
Book known;
Book logged;

byte worker[RUNS + 1];
bool sent[RUNS + 1];
bool acked[RUNS + 1];
/* Whether an acknowledged end was done. */
bool noted = false;

#define LIVE (known.live[1] + known.live[2] + known.live[3] + known.live[4])
#define AT_WORK ((worker[1] == RUNNING) + (worker[2] == RUNNING) + (worker[3] == RUNNING) + (worker[4] == RUNNING))

inline write() {
	logged.last = known.last;
	logged.done = known.done;
	logged.live[1] = known.live[1];
	logged.live[2] = known.live[2];
	logged.live[3] = known.live[3];
	logged.live[4] = known.live[4]
}

active proctype Leader() {
	byte r;
	do
	/* The first run, or a copy. */
	:: atomic { known.last < RUNS && !known.done &&
#ifndef NO_LIMIT
	   LIVE < 2 &&
#endif
	   true ->
		known.last++;
		known.live[known.last] = true
	   }
	:: atomic { logged.last != known.last || logged.done != known.done || logged.live[1] != known.live[1] || logged.live[2] != known.live[2] ||
	   logged.live[3] != known.live[3] || logged.live[4] != known.live[4] ->
		write()
	   }
	/* The start of a run whose record is in the log, unless it was stopped. */
	:: atomic { select(r : 1 .. RUNS); logged.live[r] && known.live[r] && !sent[r] &&
#ifndef NO_DONE
	   !known.done &&
#endif
	   true ->
		assert(!noted);
		sent[r] = true
	   }
	/* The end of a run that is done. It waits while a newer run may do the task. */
	:: atomic { select(r : 1 .. RUNS); worker[r] == DONE && !acked[r] && (known.live[r] || known.last == r || known.done) ->
		known.done = true;
		known.live[r] = false
	   }
	:: atomic { select(r : 1 .. RUNS); worker[r] == DONE && !acked[r] && known.done && !known.live[r] &&
#ifndef NO_RECORD
	   logged.done &&
#endif
	   true ->
		acked[r] = true;
		noted = true
	   }
	/* The other runs of a task that is done are stopped. */
	:: atomic { select(r : 1 .. RUNS); logged.done && known.live[r] && (worker[r] == IDLE || worker[r] == RUNNING) ->
		worker[r] = OVER
	   }
	/* A run that is given up. */
	:: atomic { select(r : 1 .. RUNS); known.live[r] &&
#ifndef NO_PROOF
	   worker[r] == OVER &&
#endif
	   true ->
		known.live[r] = false
	   }
	/* The next leader. */
	:: atomic { logged.last > 0 ->
		assert(!noted || logged.done);
		known.last = logged.last;
		known.done = logged.done;
		known.live[1] = logged.live[1];
		known.live[2] = logged.live[2];
		known.live[3] = logged.live[3];
		known.live[4] = logged.live[4]
	   }
	od
}

active proctype Workers() {
	byte r;
	do
	:: atomic { select(r : 1 .. RUNS); sent[r] && worker[r] == IDLE ->
		worker[r] = RUNNING;
		assert(AT_WORK <= 2)
	   }
	:: atomic { select(r : 1 .. RUNS); worker[r] == RUNNING ->
		if
		:: worker[r] = DONE
		:: worker[r] = OVER
		fi
	   }
	/* A worker that is lost carries out nothing more. */
	:: atomic { select(r : 1 .. RUNS); worker[r] == IDLE && sent[r] -> worker[r] = OVER }
	od
}
